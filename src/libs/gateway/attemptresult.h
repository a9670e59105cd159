#pragma once

namespace Hyssop::Internal {

/// Result of an attempt to send a request to a target.
enum class AttemptResult {
    Delivered, // the response was forwarded
    Aborted, // a part of the response was forwarded; the caller's connection has to be closed
    ConnectFailed,
    ConnectionLost, // the connection to the target failed after it was established
    MalformedResponse, // the target's response is not valid HTTP
    TimedOut,
    CallerFailed, // the body could not be read from the caller
};

} // namespace Hyssop::Internal
