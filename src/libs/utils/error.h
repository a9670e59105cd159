#pragma once

#include <string>

namespace Hyssop {

enum class ErrorCode {
    InvalidArgument, // the input breaks a stated rule
    Malformed, // bytes that could not be decoded
    TooLarge, // the input is over a stated limit
    NotFound,
    Unavailable, // the other side could not be reached; nothing was sent
    Timeout, // no answer in time; the effect is unknown
    Closed, // the connection ended before the answer; the effect is unknown
    Conflict,
    Refused,
    Internal,
};

/// Describes a failure for people and for programs.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

/// Returns the stable lower-case name of @p code, as used in logs and replies.
const char *errorCodeName(ErrorCode code);

} // namespace Hyssop
