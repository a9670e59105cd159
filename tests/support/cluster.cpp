#include "cluster.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <thread>

namespace Hyssop::Testing {

constexpr std::chrono::seconds StartTimeout{30};

/// Returns a loopback address with a free port below the range that the system assigns to outgoing connections. Another
/// process could take it before the daemon binds it; the daemon then fails to start and the test reports that.
static std::string freeAddress()
{
    constexpr int FirstPort = 20000;
    constexpr int LastPort = 31999;
    static std::set<int> used;
    static std::mt19937 random(std::random_device{}());
    boost::asio::io_context context;
    while (true) {
        const int port = std::uniform_int_distribution(FirstPort, LastPort)(random);
        if (!used.insert(port).second) {
            continue;
        }
        boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
        boost::system::error_code error;
        acceptor.bind({boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)}, error);
        if (!error) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

Cluster::Cluster(Layout layout)
    : m_layout(std::move(layout))
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/hyssop-test-XXXXXX";
    m_directory = mkdtemp(pattern.data());
}

Cluster::~Cluster()
{
    m_processes.clear();
    std::error_code ignored;
    if (std::getenv("HYSSOP_KEEP_TEST_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory, ignored);
    }
}

void Cluster::startStandIns()
{
    const auto startStandIn = [&](const std::string &program, const std::string &name, const std::vector<std::string> &arguments) {
        auto [process, inserted] = m_processes.emplace(name, ChildProcess(program, arguments, m_directory + "/" + name + ".log"));
        return process->second.readAddress();
    };
    m_logAddress = startStandIn("standin-log", "log", {"--listen", "127.0.0.1:0"});
    m_instancesAddress = startStandIn("standin-instances", "instances", {"--listen", "127.0.0.1:0"});
    for (const std::string &domain : m_layout.domains) {
        for (int i = 0; i < m_layout.workersPerDomain; ++i) {
            const std::string name = domain + "-worker-" + std::to_string(i);
            const std::vector<std::string> arguments{"--listen", "127.0.0.1:0", "--name", name, "--cores", "8", "--memory", "16 GB", "--slots", "8"};
            m_workers[domain].push_back(startStandIn("standin-worker", name, arguments));
        }
    }
}

void Cluster::assignAddresses()
{
    for (const std::string &domain : m_layout.domains) {
        for (int i = 0; i < m_layout.instancesPerDomain; ++i) {
            const std::string suffix = domain + "-" + std::to_string(i);
            m_daemons["scheduler-" + suffix] = {"scheduler-" + suffix, domain, freeAddress(), freeAddress(), {}, m_directory + "/scheduler-" + suffix + ".ini"};
            m_daemons["gateway-" + suffix] = {
                "gateway-" + suffix, domain, freeAddress(), freeAddress(), freeAddress(), m_directory + "/gateway-" + suffix + ".ini"};
        }
    }
}

std::vector<std::string> Cluster::namesOf(const std::string &prefix, const std::string &domain) const
{
    std::vector<std::string> names;
    for (const auto &[name, daemon] : m_daemons) {
        if (name.starts_with(prefix) && (domain.empty() || daemon.domain == domain)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> Cluster::addressesOf(const std::string &prefix, const std::string &domain, const std::string &except) const
{
    std::vector<std::string> addresses;
    for (const std::string &name : namesOf(prefix, domain)) {
        if (name != except) {
            addresses.push_back(m_daemons.at(name).rpc);
        }
    }
    return addresses;
}

void Cluster::writeSettings(const Daemon &daemon) const
{
    std::vector<std::string> remote;
    for (const std::string &domain : m_layout.domains) {
        if (domain != daemon.domain) {
            remote.push_back(addressesOf("scheduler-", domain, {}).front());
        }
    }
    const auto list = [](const std::vector<std::string> &values) { return boost::algorithm::join(values, ", "); };
    std::ofstream file(daemon.settingsFile);
    file << "[instance]\nname = " << daemon.name << "\nfailure_domain = " << daemon.domain << "\nrpc = " << daemon.rpc << "\nadmin = " << daemon.admin
         << "\npeers = " << list(addressesOf("", daemon.domain, daemon.name)) << "\nremote_peers = " << list(remote) << "\n[log]\naddress = " << m_logAddress
         << "\n[logging]\nlevel = info\n";
    if (daemon.http.empty()) {
        file << "[scheduler]\nworkers = " << list(m_workers.at(daemon.domain)) << "\nfailure_domains = " << list(m_layout.domains)
             << "\nlease = " << m_layout.leaseDuration << "\n";
    } else {
        file << "[gateway]\nlisten = " << daemon.http << "\nschedulers = " << list(addressesOf("scheduler-", daemon.domain, {}))
             << "\ninstance_list = " << m_instancesAddress << "\n";
    }
}

void Cluster::startDaemon(const Daemon &daemon)
{
    const std::string program = daemon.http.empty() ? "hyssop-scheduler" : "hyssop-gateway";
    m_processes.erase(daemon.name);
    m_processes.emplace(daemon.name, ChildProcess(program, {"--config", daemon.settingsFile}, m_directory + "/" + daemon.name + ".log"));
}

bool Cluster::start()
{
    startStandIns();
    assignAddresses();
    for (const auto &[name, daemon] : m_daemons) {
        writeSettings(daemon);
        startDaemon(daemon);
    }
    const bool ready = waitFor(StartTimeout, [&] {
        return std::ranges::all_of(m_daemons, [](const auto &entry) { return httpCall(entry.second.admin, "GET", "/readyz").status == 200; });
    });
    if (!ready) {
        std::cerr << "the cluster did not start; logs in " << m_directory << "\n";
    }
    return ready;
}

ProgramResult Cluster::runHyssopctl(const std::string &domain, std::vector<std::string> arguments) const
{
    arguments.insert(arguments.end(), {"--address", boost::algorithm::join(addressesOf("scheduler-", domain, {}), ",")});
    return runProgram("hyssopctl", arguments);
}

ChildProcess Cluster::startHyssopctl(const std::string &domain, std::vector<std::string> arguments) const
{
    arguments.insert(arguments.end(), {"--address", boost::algorithm::join(addressesOf("scheduler-", domain, {}), ",")});
    return {"hyssopctl", arguments, m_directory + "/hyssopctl.log"};
}

int Cluster::applyContract(const std::string &domain, const std::string &text) const
{
    const std::string file = m_directory + "/contract.ini";
    std::ofstream(file) << text;
    const ProgramResult result = runHyssopctl(domain, {"contract", "apply", file});
    if (result.exitCode != 0) {
        std::cerr << result.output << result.errors;
    }
    return result.exitCode;
}

HttpCallResult
Cluster::callWorker(const std::string &domain, std::size_t index, const std::string &method, const std::string &path, const std::string &body) const
{
    return httpCall(m_workers.at(domain).at(index), method, path, body);
}

HttpCallResult Cluster::callLog(const std::string &method, const std::string &path, const std::string &body) const
{
    return httpCall(m_logAddress, method, path, body);
}

std::string Cluster::owner(const std::string &domain) const
{
    for (const std::string &name : namesOf("scheduler-", domain)) {
        const std::string metrics = httpCall(m_daemons.at(name).admin, "GET", "/metrics").body;
        if (metrics.find("\nhyssop_scheduler_owner 1\n") != std::string::npos) {
            return name;
        }
    }
    return {};
}

ChildProcess &Cluster::process(const std::string &name)
{
    return m_processes.at(name);
}

const Daemon &Cluster::daemon(const std::string &name) const
{
    return m_daemons.at(name);
}

std::vector<std::string> Cluster::schedulers(const std::string &domain) const
{
    return namesOf("scheduler-", domain);
}

std::vector<std::string> Cluster::gateways(const std::string &domain) const
{
    return namesOf("gateway-", domain);
}

void Cluster::restart(const std::string &name)
{
    startDaemon(m_daemons.at(name));
}

bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace Hyssop::Testing
