#pragma once

#include "gatewayoptions.h"

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings of hyssop-gateway.
std::vector<SettingSpec> gatewaySettings();

/// Options for the HTTP side from checked settings.
GatewayOptions gatewayOptions(const Settings &settings);

} // namespace Hyssop
