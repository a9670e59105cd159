#pragma once

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace Hyssop {

struct OwnershipOptions
{
    std::chrono::milliseconds ownerTimeout{2000};
    std::chrono::milliseconds claimJitter{500};
    std::uint64_t seed = 1;
};

/// Decides when a standby claims the job stream. Only liveness depends on it: any claim at any time is safe.
class OwnershipPolicy
{
public:
    explicit OwnershipPolicy(OwnershipOptions options);

    /// The owner showed activity, or an ownership claim was read.
    void ownerSeen(TimePoint seenAt);
    /// A peer's heartbeat named an active owner.
    void heartbeatReceived(TimePoint seenAt);
    /// Another instance claimed ownership while this instance was running as the owner.
    void ownershipLost();
    /// A read that was sent at @p sentAt reached the head of the job stream.
    void logRead(TimePoint sentAt);
    void claimProposed(TimePoint now);

    /// Returns true if the owner timeout has expired and the log is reachable.
    bool shouldClaim(TimePoint now);

private:
    void drawJitter();

    OwnershipOptions m_options;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_jitter{0};
    int m_backoffFactor = 1; // grows while two running schedulers that can't reach each other keep taking ownership from each other
    std::optional<TimePoint> m_ownerSeenAt;
    std::optional<TimePoint> m_logReadAt;
    std::optional<TimePoint> m_claimProposedAt;
};

} // namespace Hyssop
