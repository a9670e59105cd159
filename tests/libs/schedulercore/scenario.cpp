#include "scenario.h"

#include "world.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <sstream>

namespace Hyssop::Testing {

namespace {

using std::chrono::milliseconds;
using Words = std::vector<std::string>;

milliseconds secondsOf(const std::string &text)
{
    return milliseconds(static_cast<std::int64_t>(std::strtod(text.c_str(), nullptr) * 1000));
}

class Runner
{
public:
    ScenarioResult run(const std::string &text)
    {
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line)) {
            ++m_line;
            const Words words = split(line);
            if (!words.empty()) {
                execute(words, line);
            }
        }
        ScenarioResult result;
        result.faults = m_faults;
        if (m_world) {
            result.trace = m_world->trace();
            result.faults.insert(result.faults.end(), m_world->violations().begin(), m_world->violations().end());
        }
        return result;
    }

private:
    static Words split(const std::string &line)
    {
        std::istringstream stream(line.substr(0, line.find('#')));
        Words words;
        std::string word;
        while (stream >> word) {
            words.push_back(word);
        }
        return words;
    }

    void fail(const std::string &reason) { m_faults.push_back("line " + std::to_string(m_line) + ": " + reason); }

    // Returns the value of "key=value" among the words.
    static std::string option(const Words &words, const std::string &key, const std::string &fallback)
    {
        for (const std::string &word : words) {
            if (word.starts_with(key + "=")) {
                return word.substr(key.size() + 1);
            }
        }
        return fallback;
    }

    std::string resolve(const std::string &word) const
    {
        if (word.starts_with("$")) {
            const auto found = m_names.find(word.substr(1));
            return found == m_names.end() ? word : found->second;
        }
        if (word.starts_with("owner:")) {
            return m_world->ownerOf(word.substr(6));
        }
        if (word.starts_with("standby:")) {
            const std::string domain = word.substr(8);
            for (const std::string &name : m_world->schedulerNames()) {
                if (name.starts_with(domain + ".") && m_world->isRunning(name) && name != m_world->ownerOf(domain)) {
                    return name;
                }
            }
        }
        return word;
    }

    void execute(const Words &written, const std::string &line)
    {
        if (written[0] == "world") {
            createWorld(written);
            return;
        }
        if (!m_world) {
            fail("the first command must be 'world'");
            return;
        }
        Words words;
        for (const std::string &word : written) {
            words.push_back(resolve(word));
        }
        m_world->addTraceLine("> " + line);
        if (words[0] == "expect") {
            expect(words);
            return;
        }
        const auto command = m_commands.find(words[0]);
        if (command == m_commands.end() || words.size() <= command->second.arguments) {
            fail("unknown command or missing argument: " + line);
            return;
        }
        command->second.run(words);
    }

    void createWorld(const Words &words)
    {
        WorldOptions options;
        options.domains.clear();
        std::istringstream domains(option(words, "domains", "east"));
        std::string domain;
        while (std::getline(domains, domain, ',')) {
            options.domains.push_back(domain);
        }
        options.schedulers = std::atoi(option(words, "schedulers", "2").c_str());
        options.workers = std::atoi(option(words, "workers", "2").c_str());
        options.seed = std::strtoull(option(words, "seed", "1").c_str(), nullptr, 10);
        options.logOutageGrace = secondsOf(option(words, "grace", "900"));
        m_world = std::make_unique<World>(options);
    }

    void submit(const Words &words)
    {
        Wire::JobSpec spec;
        spec.jobId = words[2];
        spec.customer = "cascadia";
        spec.taskName = "badge-print";
        spec.declared.milliCores = 1000 * std::atoi(option(words, "cores", "2").c_str());
        spec.declared.memoryBytes = 1'000'000'000;
        spec.declaredRunTimeMs = secondsOf(option(words, "seconds", "5")).count();
        spec.acceptsCheckpoint = option(words, "checkpoint", "yes") == "yes";
        m_world->submit(words[1], spec);
    }

    void contract(const Words &words)
    {
        Contract contract;
        contract.customer = words[1];
        ServiceContract service;
        service.name = words[2];
        service.replicas = std::atoi(option(words, "replicas", "1").c_str());
        service.singleCopy = option(words, "single_copy", "no") == "yes";
        service.task = {1000, 500'000'000, 0, 1};
        contract.services.push_back(service);
        m_world->setContract(contract);
    }

    void expect(const Words &words)
    {
        if (words.size() < 3) {
            fail("missing argument of expect");
            return;
        }
        const std::string &what = words[1];
        const std::string expected = words.back() == "none" ? "" : words.back();
        const JobEntry *entry = m_world->findJob(words[2]);
        std::string found = "?";
        if (what == "owner") {
            found = m_world->ownerOf(words[2]);
        } else if (what == "live") {
            found = std::to_string(m_world->activeTasks());
        } else if (what == "targets") {
            found = std::to_string(m_world->targets(words[2]).size());
        } else if (what == "starts") {
            found = std::to_string(m_world->starts(words[2]));
        } else if (entry && what == "state") {
            found = jobStateName(*entry);
        } else if (entry && what == "worker") {
            found = entry->worker;
        } else if (entry && what == "attempts") {
            found = std::to_string(entry->attempt);
        }
        if (found != expected) {
            fail("expected " + what + " '" + expected + "', found '" + found + "'");
        }
    }

    struct Command
    {
        std::size_t arguments = 0;
        std::function<void(const Words &)> run;
    };

    std::unique_ptr<World> m_world;
    int m_line = 0;
    std::map<std::string, std::string> m_names;
    std::vector<std::string> m_faults;
    std::map<std::string, Command> m_commands{
        {"advance", {1, [this](const Words &words) { m_world->advance(secondsOf(words[1])); }}},
        {"submit", {2, [this](const Words &words) { submit(words); }}},
        {"cancel", {2, [this](const Words &words) { m_world->cancel(words[1], words[2]); }}},
        {"contract", {2, [this](const Words &words) { contract(words); }}},
        {"domain", {2, [this](const Words &words) { m_world->setDomain(words[1], words[2] == "in"); }}},
        {"kill", {1, [this](const Words &words) { m_world->kill(words[1]); }}},
        {"start", {1, [this](const Words &words) { m_world->start(words[1]); }}},
        {"freeze", {1, [this](const Words &words) { m_world->freeze(words[1]); }}},
        {"thaw", {1, [this](const Words &words) { m_world->thaw(words[1]); }}},
        {"cut", {2, [this](const Words &words) { m_world->cut(words[1], words[2]); }}},
        {"heal", {2, [this](const Words &words) { m_world->heal(words[1], words[2]); }}},
        {"mute", {2, [this](const Words &words) { m_world->mute(words[1], words[2]); }}},
        {"log", {1, [this](const Words &words) { m_world->setLogUp(words[1] == "up"); }}},
        {"late", {2, [this](const Words &words) { m_world->delayStarts(words[1], secondsOf(words[2])); }}},
        {"restart", {1, [this](const Words &words) { m_world->worker(words[1]).restart(); }}},
        {"leaving", {1, [this](const Words &words) { m_world->worker(words[1]).setLeaving(true); }}},
        {"failing", {1, [this](const Words &words) { m_world->worker(words[1]).setFailsTasks(true); }}},
        {"let", {2, [this](const Words &words) { m_names[words[1]] = words[2]; }}},
    };
};

} // namespace

ScenarioResult runScenario(const std::string &text)
{
    return Runner().run(text);
}

} // namespace Hyssop::Testing
