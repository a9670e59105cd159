#include "error.h"

namespace Hyssop {

const char *errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::ConnectionRefused:
        return "connection-refused";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Closed:
        return "closed";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Refused:
        return "refused";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace Hyssop
