#include "commandline.h"

#include <utils/clock.h>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <pwd.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

static std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : value;
}

static std::string loginName()
{
    const passwd *entry = getpwuid(geteuid());
    return entry == nullptr ? "uid-" + std::to_string(geteuid()) : entry->pw_name;
}

int main(int argumentCount, char **arguments)
{
    Hyssop::CommandEnvironment environment{
        std::cout,
        std::cerr,
        environmentVariable("HYSSOP_SCHEDULERS"),
        loginName(),
        [] { return boost::uuids::to_string(boost::uuids::random_generator()()); },
        [] { return Hyssop::sinceEpoch(std::chrono::system_clock::now()); },
    };
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    return static_cast<int>(Hyssop::runCommandLine(words, environment));
}
