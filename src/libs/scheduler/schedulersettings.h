#pragma once

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings of hyssop-scheduler, the common ones included.
std::vector<SettingSpec> schedulerSettings();

} // namespace Hyssop
