#pragma once

#include "faultproxy.h"

#include <support/childprocess.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Hyssop::Soak {

/// Processes of hyssop-node and the stand-in for the platform, with a fault proxy between each node and the store and
/// another one in front of each worker.
class SoakCluster
{
public:
    SoakCluster(boost::asio::any_io_executor executor, int nodes, int workers, std::string directory);

    int nodeCount() const { return static_cast<int>(m_nodes.size()); }
    int workerCount() const { return static_cast<int>(m_workers.size()); }

    void startNode(int index);

    /// Sends SIGTERM to a node, as before a planned restart.
    void stopNode(int index);

    /// Returns true if stopNode() was called and the node was not started again since.
    bool isStopping(int index) const { return m_nodes[static_cast<std::size_t>(index)].isStopping; }
    Testing::ChildProcess &node(int index) { return *m_nodes[static_cast<std::size_t>(index)].process; }
    const std::string &callersAddress(int index) const { return m_nodes[static_cast<std::size_t>(index)].callers; }
    FaultProxy &storeLink(int index) { return *m_nodes[static_cast<std::size_t>(index)].storeLink; }
    FaultProxy &workerLink(int index) { return *m_workers[static_cast<std::size_t>(index)].link; }

    /// Address of the worker itself, not of its proxy.
    const std::string &workerAddress(int index) const { return m_workers[static_cast<std::size_t>(index)].address; }
    const std::string &storeAddress() const { return m_store; }

private:
    struct Node
    {
        std::string name;
        std::string callers;
        std::string settingsFile;
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<Testing::ChildProcess> process;
        int startCount = 0;
        bool isStopping = false;
    };

    struct Worker
    {
        std::string address;
        std::unique_ptr<FaultProxy> link;
    };

    void writeSettings(const Node &node, int index) const;
    int port(int offset) const;

    std::string m_directory;
    std::string m_store;
    std::unique_ptr<Testing::ChildProcess> m_platform;
    std::vector<Worker> m_workers;
    std::vector<Node> m_nodes;
};

} // namespace Hyssop::Soak
