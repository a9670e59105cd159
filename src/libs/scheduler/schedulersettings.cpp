#include "schedulersettings.h"

#include <instance/commonsettings.h>

namespace Hyssop {

std::vector<SettingSpec> schedulerSettings()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    std::vector<SettingSpec> specs = commonSettings();
    const std::vector<SettingSpec> own{
        {"scheduler.workers", AddressListSetting{}, "Workers of this failure domain.", "", true},
        {"scheduler.failure_domains", TextSetting{}, "Names of all failure domains, separated by commas; jobs move to them when this one is out.", "", true},
        {"scheduler.lease",
         DurationSetting{seconds(2), seconds(60)},
         "Lease time on workers. A shorter lease finds lost workers sooner and stops batch work sooner when schedulers are away.",
         "10 s",
         false},
        {"scheduler.permit",
         DurationSetting{seconds(1), seconds(10)},
         "Longest age of the proof that the configuration is up to date, without which no task starts.",
         "3 s",
         false},
        {"scheduler.batch_delay", DurationSetting{milliseconds(1), milliseconds(200)}, "Longest wait for more records before an append.", "20 ms", false},
    };
    specs.insert(specs.end(), own.begin(), own.end());
    return specs;
}

} // namespace Hyssop
