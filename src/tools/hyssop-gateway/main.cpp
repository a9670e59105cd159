#include <gateway/gatewaydaemon.h>
#include <gateway/gatewaysettings.h>
#include <observability/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <iostream>

using namespace Hyssop;
namespace options = boost::program_options;

constexpr int SettingsFault = 2;
constexpr const char *Version = "0.1.0";

static int runDaemon(const Settings &settings)
{
    initializeLogging(parseLogLevel(settings.text("log.level")), parseLogFormat(settings.text("log.format")), settings.text("instance.name"));
    boost::asio::io_context context(1);
    GatewayDaemon daemon(context, settings);
    daemon.start();
    context.run();
    return 0;
}

static int loadAndRun(const std::string &file, bool checkOnly)
{
    auto loaded = Settings::load(file, gatewaySettings());
    if (const auto *faults = std::get_if<std::vector<SettingFault>>(&loaded)) {
        for (const SettingFault &fault : *faults) {
            std::cerr << fault.toString() << "\n";
        }
        return SettingsFault;
    }
    return checkOnly ? 0 : runDaemon(std::get<Settings>(loaded));
}

static int run(int argc, char **argv)
{
    options::options_description description("hyssop-gateway takes callers' requests to targets. Options");
    description.add_options()("config", options::value<std::string>()->value_name("FILE"), "settings file");
    description.add_options()("check-config", "check the settings file and exit");
    description.add_options()("example-config", "print an annotated settings file and exit");
    description.add_options()("version", "print the version and exit");
    description.add_options()("help", "print this help and exit");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    if (arguments.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    if (arguments.count("version") != 0) {
        std::cout << "hyssop-gateway " << Version << "\n";
        return 0;
    }
    if (arguments.count("example-config") != 0) {
        std::cout << Settings::example(gatewaySettings());
        return 0;
    }
    if (arguments.count("config") == 0) {
        std::cerr << "hyssop-gateway: --config FILE is required\n";
        return SettingsFault;
    }
    return loadAndRun(arguments["config"].as<std::string>(), arguments.count("check-config") != 0);
}

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const options::error &error) {
        std::cerr << "hyssop-gateway: " << error.what() << "\n";
        return SettingsFault;
    } catch (const std::exception &error) {
        std::cerr << "hyssop-gateway: " << error.what() << "\n";
        return 1;
    }
}
