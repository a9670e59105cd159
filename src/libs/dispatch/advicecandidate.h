#pragma once

#include <string>

namespace Hyssop {

/// A worker that could run a step if the advice service allows it.
struct AdviceCandidate
{
    std::string worker;
    bool hasRoom = false; // for a task of the step now
};

} // namespace Hyssop
