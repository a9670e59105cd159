#pragma once

#include "configservice.h"
#include "peerservice.h"

#include "hyssop_types.h"

#include <http/httpclient.h>
#include <observability/metricsregistry.h>
#include <platform/logclient.h>
#include <utils/settings.h>
#include <wire/rpcclient.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace Hyssop {

/// Components that the gateway and the scheduler share, created from the common settings.
struct InstanceParts
{
    InstanceParts(boost::asio::io_context &context, const Settings &settings);

    /// Returns a heartbeat of this instance without the fields that depend on its role.
    Wire::Heartbeat heartbeat() const;

    std::string name;
    std::string domain;
    std::string rpcAddress;
    std::int64_t incarnation; // start time in milliseconds since the Unix epoch
    MetricsRegistry metrics;
    HttpClient http;
    RpcClient rpc;
    LogClient log;
    ConfigService config;
    PeerService peers;
};

/// Returns a setting of type AddressSetting as an endpoint.
boost::asio::ip::tcp::endpoint endpointSetting(const Settings &settings, const std::string &key);

/// Returns a setting of type DurationSetting in milliseconds.
std::chrono::milliseconds millisecondsSetting(const Settings &settings, const std::string &key);

} // namespace Hyssop
