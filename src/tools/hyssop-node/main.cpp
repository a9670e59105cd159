#include <adviceclient.h>
#include <jobendpoint.h>
#include <machineclient.h>
#include <recorddecoder.h>
#include <storeclient.h>
#include <wirenames.h>
#include <workerclient.h>

#include <http/httpclient.h>
#include <instance/processend.h>
#include <instance/programoptions.h>
#include <node/nodedaemon.h>
#include <node/nodesettings.h>
#include <node/observedstore.h>
#include <observability/logging.h>

#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace Hyssop;

namespace {

/// Adds the settings file that the platform passes in an environment variable, unless the command line has arguments.
std::vector<std::string> completeArguments(int argc, char **argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    const char *file = std::getenv(Platform::SettingsVariable.data());
    if (arguments.size() == 1 && file != nullptr) {
        arguments.emplace_back("--config");
        arguments.emplace_back(file);
    }
    return arguments;
}

void setUpLogging(const Settings &settings)
{
    initializeLogging(parseLogLevel(settings.text("logging.level")), parseLogFormat(settings.text("logging.format")), settings.text("instance.name"));
    setLogLineLimit(static_cast<int>(settings.integer("logging.lines")));
}

void reloadSettings(const std::string &file)
{
    auto loaded = Settings::load(file, nodeSettings());
    if (const auto *errors = std::get_if<std::vector<SettingError>>(&loaded)) {
        for (const SettingError &error : *errors) {
            logMessage(LogLevel::Error, "node", "invalid settings, keeping the old ones", {{"error", error.toString()}});
        }
        return;
    }
    setUpLogging(std::get<Settings>(loaded));
    logMessage(LogLevel::Info, "node", "settings reloaded", {{"file", file}});
}

int runDaemon(const Settings &settings, const std::string &file)
{
    setUpLogging(settings);
    boost::asio::io_context context(1);
    MetricsRegistry metrics;
    setLogMetrics(&metrics);
    HttpClient http(context.get_executor());
    const Clock clock;
    Platform::StoreClient storeClient(http, settings.text("store.address"));
    ObservedStore store(storeClient, clock, metrics);
    Platform::WorkerClient workers(http, metrics);
    const auto adviceAddresses = settings.list("advice.address");
    Platform::AdviceClient advice(http, adviceAddresses.empty() ? std::string() : adviceAddresses.front());
    const auto machineAddresses = settings.list("machines.address");
    Platform::MachineClient machines(http, clock, machineAddresses.empty() ? std::string() : machineAddresses.front());
    Platform::RecordDecoder decoder;
    NodeDaemon daemon(context, settings, {store, workers, advice, machines}, decoder, metrics, [file] { reloadSettings(file); });
    Platform::JobEndpoint endpoint(daemon.intake(), daemon.table(), daemon.cluster());
    daemon.start([&](const HttpRequest &request) { return endpoint.handle(request); },
                 [&](const HttpRequest &request) { return Platform::handleReadiness(request, daemon.isReady()); });
    context.run();
    setLogMetrics(nullptr);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments = completeArguments(argc, argv);
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    const auto parsed = parseProgramOptions(static_cast<int>(pointers.size()), pointers.data(), "hyssop-node", nodeSettings());
    if (const auto *code = std::get_if<EarlyExit>(&parsed)) {
        return code->value;
    }
    try {
        const auto &[settings, file] = std::get<ProgramSettings>(parsed);
        endProcess(runDaemon(settings, file));
    } catch (const std::exception &error) {
        std::cerr << "hyssop-node: " << error.what() << "\n";
        return 1;
    }
}
