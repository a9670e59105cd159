#include "instanceparts.h"

#include <utils/clock.h>
#include <utils/endpoint.h>

namespace Hyssop {

namespace Internal {

static ConfigServiceOptions configOptions(const Settings &settings)
{
    ConfigServiceOptions options;
    options.instance = settings.text("instance.name");
    options.peers = settings.list("instance.peers");
    options.maximumAppendsPerSecond = static_cast<double>(settings.integer("log.maximum_appends"));
    options.retention = millisecondsSetting(settings, "log.retention");
    return options;
}

static PeerServiceOptions peerOptions(const Settings &settings)
{
    return {settings.text("instance.name"), settings.text("instance.failure_domain"), settings.list("instance.peers"), settings.list("instance.remote_peers")};
}

} // namespace Internal

InstanceParts::InstanceParts(boost::asio::io_context &context, const Settings &settings)
    : name(settings.text("instance.name"))
    , domain(settings.text("instance.failure_domain"))
    , rpcAddress(settings.text("instance.rpc"))
    , incarnation(sinceEpoch(std::chrono::system_clock::now()).count())
    , http(context.get_executor())
    , rpc(context.get_executor())
    , log(http, settings.text("log.address"))
    , config(context.get_executor(), log, rpc, metrics, Internal::configOptions(settings))
    , peers(context.get_executor(), rpc, metrics, Internal::peerOptions(settings))
{
}

Wire::Heartbeat InstanceParts::heartbeat() const
{
    const auto age = config.headAge(std::chrono::steady_clock::now());
    Wire::Heartbeat heartbeat;
    heartbeat.instance = name;
    heartbeat.incarnation = incarnation;
    heartbeat.domain = domain;
    heartbeat.configHead = config.appliedUpTo();
    heartbeat.configAgeMs = age ? age->count() : -1;
    heartbeat.configDigest = config.digest();
    heartbeat.address = rpcAddress;
    return heartbeat;
}

boost::asio::ip::tcp::endpoint endpointSetting(const Settings &settings, const std::string &key)
{
    auto endpoint = capture([&] { return parseEndpoint(settings.text(key)); });
    return *valueOf(endpoint);
}

std::chrono::milliseconds millisecondsSetting(const Settings &settings, const std::string &key)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(settings.duration(key));
}

} // namespace Hyssop
