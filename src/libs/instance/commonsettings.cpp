#include "commonsettings.h"

namespace Hyssop {

std::vector<SettingSpec> commonSettings()
{
    using namespace std::chrono_literals;
    return {
        {"instance.name", TextSetting{}, "Name of this instance, unique in the system.", "", true},
        {"instance.failure_domain", TextSetting{}, "Failure domain of this instance.", "", true},
        {"instance.rpc", AddressSetting{}, "Address on which other instances reach this daemon.", "", true},
        {"instance.admin", AddressSetting{}, "Address of /metrics, /healthz and /readyz.", "", true},
        {"instance.peers", AddressListSetting{}, "RPC addresses of the other instances of the failure domain.", "", false},
        {"instance.remote_peers", AddressListSetting{}, "RPC addresses of instances of other failure domains.", "", false},
        {"log.address", AddressSetting{}, "Address of the platform log.", "", true},
        // State is republished after about half of the retention; the other half has to outlast an outage of the log.
        {"log.retention", DurationSetting{1min, 24h * 366}, "Time for which the platform log keeps a record.", "24 h", false},
        {"log.maximum_appends", IntegerSetting{1, 1000}, "Most appends a second of one writer.", "25", false},
        {"logging.level", ChoiceSetting{{"debug", "info", "warning", "error"}}, "Lowest level that is written.", "info", false},
        {"logging.format", ChoiceSetting{{"keyvalue", "json"}}, "Format of a log line.", "keyvalue", false},
        {"metrics.enabled", ChoiceSetting{{"yes", "no"}}, "Whether /metrics is served.", "yes", false},
    };
}

} // namespace Hyssop
