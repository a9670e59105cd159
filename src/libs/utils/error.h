#pragma once

#include <string>

namespace Hyssop {

enum class ErrorCode {
    InvalidArgument, // the input violates a documented constraint
    Malformed, // the input could not be decoded
    TooLarge, // the input exceeds a documented limit
    NotFound,
    Unavailable, // the peer could not be reached; nothing was sent
    ConnectionRefused, // nothing listens at the peer's address; nothing was sent
    Timeout, // no reply within the timeout; the request may have taken effect
    Closed, // the connection was closed before the reply; the request may have taken effect
    Conflict,
    Refused,
    Internal,
};

/// A failure: a code for programs and a message for people.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

/// Returns true if a request that failed with @p code was not sent.
constexpr bool isNotSent(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::ConnectionRefused;
}

/// Returns the stable lower-case name of @p code, as used in logs and replies.
const char *errorCodeName(ErrorCode code);

} // namespace Hyssop
