#pragma once

#include "stagetimes.h"

namespace Hyssop::Bench {

/// Measures encoding and decoding of @p count messages of each kind.
void measureCodec(StageTimes &times, int count);

/// Measures @p count HTTP exchanges with servers in other threads of this process, over loopback. The time of the servers is not
/// included.
void measureExchanges(StageTimes &times, int count);

} // namespace Hyssop::Bench
