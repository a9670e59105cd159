#pragma once

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings of hyssop-node.
std::vector<SettingSpec> nodeSettings();

} // namespace Hyssop
