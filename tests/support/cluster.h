#pragma once

#include "childprocess.h"
#include "httpcall.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Testing {

/// One daemon of the cluster and its addresses.
struct Daemon
{
    std::string name;
    std::string domain;
    std::string rpc;
    std::string admin;
    std::string http; // gateways only
    std::string settingsFile;
};

/// Real processes on loopback: the stand-ins of the platform and failure domains of schedulers, gateways and workers.
class Cluster
{
public:
    struct Layout
    {
        std::vector<std::string> domains{"puget-a"};
        int instancesPerDomain = 2; // schedulers and gateways
        int workersPerDomain = 2;
        std::string leaseDuration = "10 s";
    };

    explicit Cluster(Layout layout);
    ~Cluster();

    /// Starts everything and waits until every daemon is ready. Returns false after 30 seconds.
    bool start();

    /// Runs hyssopctl with the addresses of @p domain's schedulers.
    ProgramResult runHyssopctl(const std::string &domain, std::vector<std::string> arguments) const;

    /// Like runHyssopctl(), but does not wait for it to exit.
    ChildProcess startHyssopctl(const std::string &domain, std::vector<std::string> arguments) const;

    /// Applies the contract text of a customer and returns the exit code of hyssopctl.
    int applyContract(const std::string &domain, const std::string &text) const;

    /// Sends an HTTP request to a worker's stand-in.
    HttpCallResult
    callWorker(const std::string &domain, std::size_t index, const std::string &method, const std::string &path, const std::string &body = {}) const;
    HttpCallResult callLog(const std::string &method, const std::string &path, const std::string &body = {}) const;

    /// Name of the scheduler that owns @p domain; empty if there is none.
    std::string owner(const std::string &domain) const;

    ChildProcess &process(const std::string &name);
    const Daemon &daemon(const std::string &name) const;
    std::vector<std::string> schedulers(const std::string &domain) const;
    std::vector<std::string> gateways(const std::string &domain) const;
    void restart(const std::string &name);

    const std::string &directory() const { return m_directory; }

private:
    void startStandIns();
    void assignAddresses();
    void writeSettings(const Daemon &daemon) const;
    void startDaemon(const Daemon &daemon);
    std::vector<std::string> namesOf(const std::string &prefix, const std::string &domain) const;
    std::vector<std::string> addressesOf(const std::string &prefix, const std::string &domain, const std::string &except) const;

    Layout m_layout;
    std::string m_directory;
    std::string m_logAddress;
    std::string m_instancesAddress;
    std::map<std::string, std::vector<std::string>> m_workers; // by failure domain
    std::map<std::string, Daemon> m_daemons;
    std::map<std::string, ChildProcess> m_processes;
};

/// Repeats @p condition every 20 ms until it holds or @p timeout has passed; returns its last value.
bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

} // namespace Hyssop::Testing
