#include "logservice.h"

#include <utils/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <string>

namespace po = boost::program_options;
using namespace Hyssop;

static int serve(const boost::asio::ip::tcp::endpoint &endpoint)
{
    boost::asio::io_context context;
    LogService service(context.get_executor(), endpoint);
    service.start();
    std::cout << "listening on " << service.address() << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

int main(int argc, char **argv)
{
    po::options_description options("In-memory stand-in for the platform log");
    std::string listen;
    options.add_options()("help", "print this help and exit")(
        "listen", po::value(&listen)->default_value("127.0.0.1:0"), "IP:PORT to listen on; port 0 selects a free port");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.contains("help")) {
            std::cout << options;
            return 0;
        }
        auto endpoint = capture([&] { return parseEndpoint(listen); });
        if (const Error *error = errorOf(endpoint)) {
            std::cerr << "standin-log: --listen: " << error->message << "\n";
            return 2;
        }
        return serve(*valueOf(endpoint));
    } catch (const po::error &error) {
        std::cerr << "standin-log: " << error.what() << "\n";
        return 2;
    } catch (const boost::system::system_error &error) {
        std::cerr << "standin-log: " << error.what() << "\n";
        return 1;
    }
}
