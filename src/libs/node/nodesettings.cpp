#include "nodesettings.h"

namespace Hyssop {

std::vector<SettingSpec> nodeSettings()
{
    using namespace std::chrono_literals;
    return {
        {"instance.name", TextSetting{}, "Name of this instance, unique in the system.", "", true},
        {"instance.failure_domain", TextSetting{}, "Failure domain of this instance.", "", true},
        {"instance.callers", AddressSetting{}, "Address for callers.", "", true},
        {"instance.ready", AddressSetting{}, "Address for the readiness checks of the platform.", "", true},
        {"instance.admin", AddressSetting{}, "Address of /metrics, /healthz and /readyz.", "", true},
        {"instance.processor_share", TextSetting{}, "Cores that this instance may use, for example 0.25.", "1", false},
        {"store.address", AddressSetting{}, "Address of the platform's metadata store.", "", true},
        {"advice.address", AddressListSetting{}, "Address of the advice service; may be empty.", "", false},
        {"machines.address", AddressListSetting{}, "Address of the platform's list of machines; may be empty.", "", false},
        {"workers.longest_lease", DurationSetting{2s, 60s}, "Maximum lease duration that workers accept.", "6 s", false},
        {"workers.stop_duration", DurationSetting{0s, 60s}, "Maximum time from the confirmation of a stop until the run has ended.", "900 ms", false},
        {"jobs.status_retention", DurationSetting{1s, 24h}, "How long the state of an ended job can be queried.", "120 s", false},
        {"shutdown.grace", DurationSetting{1s, 60s}, "Time from SIGTERM until the process is killed.", "6 s", false},
        {"logging.level", ChoiceSetting{{"debug", "info", "warning", "error"}}, "Lowest level that is written.", "info", false},
        {"logging.format", ChoiceSetting{{"keyvalue", "json"}}, "Format of a log line.", "keyvalue", false},
        {"logging.lines", IntegerSetting{1, 100000}, "Maximum number of log lines per second; further lines are counted and dropped.", "400", false},
    };
}

} // namespace Hyssop
