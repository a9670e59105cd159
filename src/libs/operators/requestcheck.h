#pragma once

#include "hyssop_types.h"

#include <utils/result.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hyssop::Internal {

/// Each function validates a message and returns the first error, with ErrorCode::InvalidArgument or TooLarge, or no value.
/// checkChange() also validates the contract and lists all of its errors.
std::optional<Error> checkChange(const Wire::ConfigChange &change);
std::optional<Error> checkJob(const Wire::JobSpec &spec);
std::optional<Error> checkCancel(const Wire::JobCancelRequest &request);
std::optional<Error> checkQuery(const Wire::JobQuery &query);
std::optional<Error> checkAudit(const Wire::AuditRequest &request);
std::optional<Error> checkState(const Wire::ConfigStateRequest &request);

} // namespace Hyssop::Internal
