#pragma once

namespace Hyssop {

/// Ends the process with @p exitCode, without its static destructors. Those of the logging library join threads of a pool, and a process
/// in which these don't finish in time is killed at the end of its grace time.
[[noreturn]] void endProcess(int exitCode);

} // namespace Hyssop
