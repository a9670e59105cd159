#include "soakcluster.h"

#include <utils/endpoint.h>
#include <utils/result.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace Hyssop::Soak {

namespace {

// Each soak process uses its own block of ports, below the range that the system assigns to outgoing connections.
constexpr int FirstPort = 10000;
constexpr int PortsPerSoak = 100;
constexpr int PortBlocks = 200;
constexpr int FirstWorkerPortOffset = 60;
constexpr int PortsPerNode = 3;

boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    auto endpoint = capture([&] { return parseEndpoint(address); });
    return *valueOf(endpoint);
}

} // namespace

SoakCluster::SoakCluster(boost::asio::any_io_executor executor, int nodes, int workers, std::string directory)
    : m_directory(std::move(directory))
{
    std::filesystem::create_directories(m_directory);
    m_platform = std::make_unique<Testing::ChildProcess>(
        "standin-platform",
        std::vector<std::string>{"--workers", std::to_string(workers), "--advertised-port", std::to_string(port(FirstWorkerPortOffset))},
        m_directory + "/platform.log");
    m_store = m_platform->readAddress();
    for (int index = 0; index < workers; ++index) {
        const std::string address = m_platform->readAddress();
        m_workers.push_back({address, std::make_unique<FaultProxy>(executor, port(FirstWorkerPortOffset + index), endpointOf(address))});
    }
    for (int index = 0; index < nodes; ++index) {
        Node node;
        node.name = "node-" + std::to_string(index);
        node.callers = "127.0.0.1:" + std::to_string(port(index * PortsPerNode));
        node.settingsFile = m_directory + "/" + node.name + ".ini";
        node.storeLink = std::make_unique<FaultProxy>(executor, 0, endpointOf(m_store));
        writeSettings(node, index);
        m_nodes.push_back(std::move(node));
        startNode(index);
    }
}

void SoakCluster::startNode(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    node.process.reset();
    node.isStopping = false;
    const std::string log = m_directory + "/" + node.name + "-" + std::to_string(node.startCount++) + ".log";
    node.process =
        std::make_unique<Testing::ChildProcess>("hyssop-node", std::vector<std::string>{"--config", node.settingsFile}, log, Testing::ChildOutput::LogFile);
}

void SoakCluster::stopNode(int index)
{
    m_nodes[static_cast<std::size_t>(index)].isStopping = true;
    node(index).sendSignal(SIGTERM);
}

void SoakCluster::writeSettings(const Node &node, int index) const
{
    const auto address = [&](int offset) { return "127.0.0.1:" + std::to_string(port(index * PortsPerNode + offset)); };
    std::ofstream(node.settingsFile) << "[instance]\nname = " << node.name << "\nfailure_domain = a\ncallers = " << address(0) << "\nready = " << address(1)
                                     << "\nadmin = " << address(2) << "\n[store]\naddress = 127.0.0.1:" << node.storeLink->port()
                                     << "\n[shutdown]\ngrace = 4 s\n";
}

int SoakCluster::port(int offset) const
{
    return FirstPort + ::getpid() % PortBlocks * PortsPerSoak + offset;
}

} // namespace Hyssop::Soak
