#pragma once

#include "hyssop_types.h"

#include <utils/error.h>

namespace Hyssop {

/// Returns the reply to a request that failed with @p error.
Wire::Message errorMessage(const Error &error);

} // namespace Hyssop
