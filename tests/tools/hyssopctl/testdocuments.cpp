#include "commandsession.h"

#include <hyssopctl/linediff.h>

#include <sys/resource.h>

using namespace Hyssop;
using namespace Hyssop::Test;

// Guards against a command or option that is missing from the shell completion or the manual.
Test(documents, nameEveryCommandAndOption)
{
    namespace po = boost::program_options;
    const std::string completion = readTestFile("../completions/hyssopctl.bash");
    const std::string manual = readTestFile("../docs/hyssopctl.md");
    for (const Command &command : allCommands()) {
        cr_assert(manual.find("`" + command.name) != std::string::npos, "the manual lacks %s", command.name.c_str());
        const std::string word = command.name.substr(command.name.find(' ') + 1);
        cr_assert(completion.find(word) != std::string::npos, "the completion lacks %s", word.c_str());
        po::options_description options;
        if (command.addOptions) {
            command.addOptions(options);
        }
        for (const auto &option : options.options()) {
            const std::string name = "--" + option->long_name();
            cr_assert(manual.find(name) != std::string::npos, "the manual lacks %s", name.c_str());
            cr_assert(completion.find(name) != std::string::npos, "the completion lacks %s", name.c_str());
        }
    }
}

static std::string joined(const std::vector<std::string> &lines)
{
    return boost::join(lines, "|");
}

// Guards against a diff that omits a change.
Test(linediff, showsEachChange)
{
    cr_assert_eq(joined(lineDiff("a\nb\nc\n", "a\nb\nc\n")), "");
    cr_assert_eq(joined(lineDiff("", "a\n")), "+a");
    cr_assert_eq(joined(lineDiff("a\nb\nc\n", "a\nx\nc\n")), " a|-b|+x| c");
    cr_assert_eq(joined(lineDiff("1\n2\n3\n4\n5\n6\n7\n8\n9\n", "0\n1\n2\n3\n4\n5\n6\n7\n8\n")), "+0| 1| 2| 3|...| 6| 7| 8|-9");
}

// Guards against a diff whose memory grows with the product of the sizes of two large texts.
Test(linediff, boundsItsTable)
{
    std::string before;
    std::string after;
    for (int line = 0; line < 20'000; ++line) {
        before += "a\n";
        after += "b\n";
    }
    cr_assert_eq(lineDiff(before, after).size(), 40'000);
    constexpr long MaximumKilobytes = 512 * 1024; // a full table of these texts takes 1.6 GB
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    cr_assert(usage.ru_maxrss < MaximumKilobytes, "%ld KB", usage.ru_maxrss);
}
