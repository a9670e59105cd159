#include "instancelist.h"

#include <utils/endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

using namespace Hyssop;
using namespace Hyssop::Testing;
namespace options = boost::program_options;

static int run(const std::string &address)
{
    auto endpoint = capture([&] { return parseEndpoint(address); });
    if (const Error *error = errorOf(endpoint)) {
        std::cerr << "standin-instances: " << error->message << "\n";
        return 2;
    }
    boost::asio::io_context context(1);
    InstanceList list;
    HttpServer server(context.get_executor(), *valueOf(endpoint), [&list](const HttpRequest &request) { return list.respond(request); });
    server.start();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "listening on " << formatEndpoint(server.localEndpoint()) << std::endl;
    context.run();
    return 0;
}

int main(int argc, char **argv)
{
    try {
        options::options_description description("Stand-in for the platform's instance list. Options");
        description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0")->value_name("IP:PORT"), "address to listen on");
        description.add_options()("help", "print this help and exit");
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        return run(arguments["listen"].as<std::string>());
    } catch (const std::exception &error) {
        std::cerr << "standin-instances: " << error.what() << "\n";
        return 1;
    }
}
