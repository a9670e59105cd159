#pragma once

#include "gatewayoptions.h"

#include <utils/settings.h>

#include <vector>

namespace Hyssop {

/// Settings of hyssop-gateway.
std::vector<SettingSpec> gatewaySettings();

/// Creates the options of the HTTP server from validated settings.
GatewayOptions gatewayOptions(const Settings &settings);

} // namespace Hyssop
