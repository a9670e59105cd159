#pragma once

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings that both daemons have. A daemon appends its own.
std::vector<SettingSpec> commonSettings();

} // namespace Hyssop
