#pragma once

namespace Hyssop {

/// What a tick of the dispatcher decides about.
enum class TickScope {
    All,
    Urgent, // tasks that serve or reserve capacity; for ticks at which commands of earlier ones still wait for the owner's processor
};

} // namespace Hyssop
