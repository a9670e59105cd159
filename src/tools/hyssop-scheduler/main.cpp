#include <instance/programoptions.h>
#include <observability/logging.h>
#include <scheduler/schedulerdaemon.h>
#include <scheduler/schedulersettings.h>

#include <boost/asio/io_context.hpp>

#include <iostream>

using namespace Hyssop;

static int runDaemon(const Settings &settings)
{
    initializeLogging(parseLogLevel(settings.text("logging.level")), parseLogFormat(settings.text("logging.format")), settings.text("instance.name"));
    boost::asio::io_context context(1);
    SchedulerDaemon daemon(context, settings);
    daemon.start();
    context.run();
    return 0;
}

int main(int argc, char **argv)
{
    const auto parsed = parseProgramOptions(argc, argv, "hyssop-scheduler", schedulerSettings());
    if (const auto *code = std::get_if<EarlyExit>(&parsed)) {
        return code->value;
    }
    try {
        return runDaemon(std::get<ProgramSettings>(parsed).settings);
    } catch (const std::exception &error) {
        std::cerr << "hyssop-scheduler: " << error.what() << "\n";
        return 1;
    }
}
