#include "peerservice.h"

#include <membership/membershiptable.h>
#include <observability/metricsregistry.h>
#include <wire/rpcclient.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr std::chrono::milliseconds DomainHeartbeatInterval{500};
constexpr std::chrono::milliseconds RemoteHeartbeatInterval{1000};
constexpr std::chrono::milliseconds HeartbeatTimeout{1000};

struct PeerServiceState
{
    PeerServiceState(asio::any_io_executor ioExecutor, RpcClient &rpc, MetricsRegistry &registry, PeerServiceOptions serviceOptions)
        : executor(std::move(ioExecutor))
        , client(rpc)
        , metrics(registry)
        , options(std::move(serviceOptions))
    {
    }

    asio::any_io_executor executor;
    RpcClient &client;
    MetricsRegistry &metrics;
    PeerServiceOptions options;
    PeerService::HeartbeatSource source;
    PeerService::HeartbeatHandler handler;
    MembershipTable members;
    std::map<std::string, std::string> remoteDomains; // by address, from the last reply; removed after a failed exchange
    std::list<asio::steady_timer *> timers;
    bool stopped = false;
};

using PeerServiceStatePtr = std::shared_ptr<PeerServiceState>;

static void handleHeartbeat(PeerServiceState &state, const Wire::Heartbeat &heartbeat)
{
    // The list of peers may contain the address of this instance.
    const bool isOwn = heartbeat.instance == state.options.instance;
    if (isOwn || !state.members.recordHeartbeat(heartbeat, std::chrono::steady_clock::now())) {
        state.metrics.add("hyssop_peer_heartbeats_ignored_total");
        return;
    }
    state.metrics.add("hyssop_peer_heartbeats_received_total");
    if (state.handler) {
        state.handler(heartbeat);
    }
}

static asio::awaitable<void> sleepFor(PeerServiceStatePtr state, std::chrono::milliseconds delay)
{
    asio::steady_timer timer(state->executor, delay);
    const auto position = state->timers.insert(state->timers.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    state->timers.erase(position);
}

/// Sends one heartbeat and handles the reply. Returns the peer's failure domain, or an empty string on failure.
static asio::awaitable<std::string> exchangeHeartbeat(PeerServiceStatePtr state, std::string address)
{
    Wire::Message message;
    message.__set_heartbeat(state->source());
    const TimePoint sentAt = std::chrono::steady_clock::now();
    auto outcome = co_await state->client.call(address, message, HeartbeatTimeout);
    const Wire::Message *reply = valueOf(outcome);
    if (state->stopped) {
        co_return std::string();
    }
    if (reply == nullptr || !reply->__isset.heartbeat) {
        state->metrics.add("hyssop_peer_heartbeat_failures_total", {{"peer", address}});
        co_return std::string();
    }
    Wire::Heartbeat heartbeat = reply->heartbeat;
    if (heartbeat.configAgeMs >= 0) {
        // The reply may have taken the whole round trip; the age must never be underestimated.
        heartbeat.configAgeMs += std::chrono::ceil<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt).count();
    }
    handleHeartbeat(*state, heartbeat);
    co_return heartbeat.domain;
}

static asio::awaitable<void> exchangeWithDomainPeer(PeerServiceStatePtr state, std::string address)
{
    // Dead peers get heartbeats too: otherwise each side would wait for the other after a network partition.
    while (!state->stopped) {
        const TimePoint next = std::chrono::steady_clock::now() + DomainHeartbeatInterval;
        co_await exchangeHeartbeat(state, address);
        const auto delay = std::chrono::ceil<std::chrono::milliseconds>(next - std::chrono::steady_clock::now());
        co_await sleepFor(state, std::max(delay, std::chrono::milliseconds(1)));
    }
}

static asio::awaitable<void> exchangeWithRemotePeer(PeerServiceStatePtr state, std::string address)
{
    const std::string domain = co_await exchangeHeartbeat(state, address);
    if (domain.empty()) {
        state->remoteDomains.erase(address);
    } else {
        state->remoteDomains[address] = domain;
    }
}

/// True if this instance exchanges heartbeats with other failure domains on behalf of its own. Of the live instances of one
/// failure domain and role, only the first by name does so, which limits the traffic between domains.
static bool representsDomain(const PeerServiceState &state)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::string role = state.source().role;
    return std::ranges::none_of(state.members.heartbeats(now), [&](const Wire::Heartbeat &peer) {
        const bool precedes = peer.domain == state.options.domain && peer.role == role && peer.instance < state.options.instance;
        return precedes && state.members.state(peer.instance, peer.role, now) == MemberState::Alive;
    });
}

/// Returns one responsive address of each known remote failure domain, and all addresses whose domain is unknown.
static std::vector<std::string> remoteAddresses(const PeerServiceState &state)
{
    std::vector<std::string> addresses;
    std::set<std::string> domains;
    for (const std::string &address : state.options.remotePeers) {
        const auto domain = state.remoteDomains.find(address);
        if (domain == state.remoteDomains.end() || domains.insert(domain->second).second) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

static asio::awaitable<void> exchangeWithRemotePeers(PeerServiceStatePtr state)
{
    while (!state->stopped) {
        if (representsDomain(*state)) {
            for (const std::string &address : remoteAddresses(*state)) {
                asio::co_spawn(state->executor, exchangeWithRemotePeer(state, address), asio::detached);
            }
        }
        co_await sleepFor(state, RemoteHeartbeatInterval);
    }
}

} // namespace Internal

PeerService::PeerService(asio::any_io_executor executor, RpcClient &client, MetricsRegistry &metrics, PeerServiceOptions options)
    : m_state(std::make_shared<Internal::PeerServiceState>(std::move(executor), client, metrics, std::move(options)))
{
}

PeerService::~PeerService()
{
    stop();
}

void PeerService::start(HeartbeatSource source, HeartbeatHandler handler)
{
    m_state->source = std::move(source);
    m_state->handler = std::move(handler);
    for (const std::string &address : m_state->options.domainPeers) {
        asio::co_spawn(m_state->executor, Internal::exchangeWithDomainPeer(m_state, address), asio::detached);
    }
    if (!m_state->options.remotePeers.empty()) {
        asio::co_spawn(m_state->executor, Internal::exchangeWithRemotePeers(m_state), asio::detached);
    }
}

void PeerService::stop()
{
    m_state->stopped = true;
    m_state->handler = nullptr;
    for (asio::steady_timer *timer : m_state->timers) {
        timer->cancel();
    }
}

Wire::Heartbeat PeerService::receive(const Wire::Heartbeat &heartbeat)
{
    Wire::Heartbeat withoutAge = heartbeat;
    // The transmission time of the message is unknown, so the age would be underestimated.
    withoutAge.configAgeMs = -1;
    Internal::handleHeartbeat(*m_state, withoutAge);
    return m_state->source ? m_state->source() : Wire::Heartbeat();
}

std::vector<Wire::Heartbeat> PeerService::peers() const
{
    return m_state->members.heartbeats(std::chrono::steady_clock::now());
}

std::optional<std::chrono::milliseconds> PeerService::timeSinceOwnerHeartbeat() const
{
    return m_state->members.timeSinceOwnerHeartbeat(m_state->options.domain, std::chrono::steady_clock::now());
}

} // namespace Hyssop
