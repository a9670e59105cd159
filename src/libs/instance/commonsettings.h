#pragma once

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings that the gateway and the scheduler share. Each daemon appends its own.
std::vector<SettingSpec> commonSettings();

} // namespace Hyssop
