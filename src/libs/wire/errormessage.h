#pragma once

#include "hyssop_types.h"

#include <utils/error.h>

namespace Hyssop {

/// Wraps @p error in the message that answers a failed request.
Wire::Message errorMessage(const Error &error);

} // namespace Hyssop
