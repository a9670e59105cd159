#pragma once

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings of hyssop-scheduler besides the common ones.
std::vector<SettingSpec> schedulerSettings();

} // namespace Hyssop
