#pragma once

#include "hyssop_types.h"

#include <optional>
#include <string>

namespace Hyssop {

struct Contract;

/// Checks a submitted job against the customer's contract (a null pointer if there is none in force) and returns the
/// reason for which it is refused, or no value.
std::optional<std::string> checkJob(const Wire::JobSpec &spec, const Contract *contract);

} // namespace Hyssop
