#include "gatewaysettings.h"

#include <instance/commonsettings.h>
#include <utils/endpoint.h>

namespace Hyssop {

namespace Internal {

static std::chrono::milliseconds milliseconds(const Settings &settings, const std::string &key)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(settings.duration(key));
}

} // namespace Internal

std::vector<SettingSpec> gatewaySettings()
{
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    std::vector<SettingSpec> specs = commonSettings();
    const std::vector<SettingSpec> own{
        {"gateway.listen", AddressSetting{}, "Address for callers.", "", true},
        {"gateway.instance_list", AddressSetting{}, "Address of the platform's instance list.", "", true},
        {"gateway.schedulers", AddressListSetting{}, "RPC addresses of the schedulers of the failure domain.", "", true},
        {"gateway.domain_gateways", IntegerSetting{1, 100}, "Gateways in the failure domain; each enforces its part of a contract's limits.", "2", false},
        {"gateway.maximum_connections", IntegerSetting{1, 60000}, "Connections from callers.", "4096", false},
        {"gateway.maximum_header", IntegerSetting{1024, 65536}, "Largest header of a request, in bytes.", "16384", false},
        {"gateway.maximum_body", IntegerSetting{1024, std::int64_t(1) << 40}, "Largest body of a request, in bytes.", "1073741824", false},
        {"gateway.header_timeout", DurationSetting{milliseconds(100), minutes(5)}, "Time for the header of a request.", "10 s", false},
        {"gateway.idle_timeout", DurationSetting{milliseconds(100), hours(1)}, "Time between two requests on one connection.", "60 s", false},
        {"gateway.stall_timeout", DurationSetting{milliseconds(100), minutes(5)}, "Time without progress in a body.", "10 s", false},
        {"gateway.connect_timeout", DurationSetting{milliseconds(10), minutes(1)}, "Time to connect to a target.", "1 s", false},
        {"gateway.target_idle_timeout", DurationSetting{milliseconds(100), minutes(5)}, "Time for which idle connections to targets are kept.", "4 s", false},
        {"gateway.drain_accept", DurationSetting{milliseconds(0), minutes(5)}, "Time from readiness falling to the end of accepting.", "5 s", false},
        {"gateway.drain_finish", DurationSetting{milliseconds(0), hours(1)}, "Longest wait for requests in flight at the end.", "60 s", false},
    };
    specs.insert(specs.end(), own.begin(), own.end());
    return specs;
}

GatewayOptions gatewayOptions(const Settings &settings)
{
    GatewayOptions options;
    options.instance = settings.text("instance.name");
    auto listen = capture([&] { return parseEndpoint(settings.text("gateway.listen")); });
    options.listen = *valueOf(listen);
    options.domainGateways = static_cast<int>(settings.integer("gateway.domain_gateways"));
    options.maximumConnections = static_cast<std::size_t>(settings.integer("gateway.maximum_connections"));
    options.maximumHeaderBytes = static_cast<std::uint32_t>(settings.integer("gateway.maximum_header"));
    options.maximumBodyBytes = static_cast<std::uint64_t>(settings.integer("gateway.maximum_body"));
    options.headerTimeout = Internal::milliseconds(settings, "gateway.header_timeout");
    options.idleTimeout = Internal::milliseconds(settings, "gateway.idle_timeout");
    options.stallTimeout = Internal::milliseconds(settings, "gateway.stall_timeout");
    options.connectTimeout = Internal::milliseconds(settings, "gateway.connect_timeout");
    options.upstreamIdleTimeout = Internal::milliseconds(settings, "gateway.target_idle_timeout");
    return options;
}

} // namespace Hyssop
