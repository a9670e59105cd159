#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Hyssop {

struct GatewayOptions
{
    std::string instance;
    boost::asio::ip::tcp::endpoint listen;
    int domainGateways = 1; // number of gateways in the failure domain; each enforces its part of the contract's limits
    std::size_t maximumConnections = 4096; // from callers
    std::uint32_t maximumHeaderBytes = 16 * 1024;
    std::uint64_t maximumBodyBytes = std::uint64_t(1) << 30;
    std::uint64_t maximumKeyedBodyBytes = 256 * 1024; // with an idempotency key, the body is read completely before the intent is written
    std::chrono::milliseconds headerTimeout{10000}; // from the first byte to the end of the header
    std::chrono::milliseconds idleTimeout{60000}; // between requests of a caller
    std::chrono::milliseconds stallTimeout{10000}; // maximum time without progress in a request body or a response
    std::chrono::milliseconds connectTimeout{1000}; // to a target
    std::chrono::milliseconds upstreamIdleTimeout{4000}; // shorter than common HTTP server defaults, so that the gateway closes first
    std::chrono::milliseconds probeInterval{1000};
    std::chrono::milliseconds probeTimeout{800};
    std::chrono::milliseconds rampDuration{10000};
};

} // namespace Hyssop
