#pragma once

#include "hyssop_types.h"

#include <utils/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

enum class MemberState {
    Unknown, // no heartbeat received, or removed after RemovalTimeout
    Alive,
    Suspect, // no heartbeat for 2 s
    Dead, // no heartbeat for 5 s
};

/// Failure detector: the state of each instance, from the time of its last heartbeat. Does no I/O. No safety property
/// depends on it.
class MembershipTable
{
public:
    static constexpr std::chrono::milliseconds SuspectTimeout{2000};
    static constexpr std::chrono::milliseconds DeadTimeout{5000};

    /// Records a heartbeat. Ignores a heartbeat of an older incarnation than the one known and returns false.
    bool recordHeartbeat(const Wire::Heartbeat &heartbeat, TimePoint now);

    MemberState state(const std::string &instance, const std::string &role, TimePoint now) const;

    /// The last heartbeat of each member that is not dead, ordered by instance and role.
    std::vector<Wire::Heartbeat> heartbeats(TimePoint now) const;

    /// Time since the last heartbeat of the owner of @p domain; no value if none was received. If several instances claim
    /// the ownership, the one with the highest term counts as the owner.
    std::optional<std::chrono::milliseconds> timeSinceOwnerHeartbeat(const std::string &domain, TimePoint now) const;

private:
    struct Member
    {
        Wire::Heartbeat heartbeat;
        TimePoint lastHeartbeatAt;
    };

    struct Owner
    {
        std::int64_t term = -1;
        TimePoint lastHeartbeatAt;
    };

    using MemberKey = std::pair<std::string, std::string>; // instance and role, because both daemons of an instance send heartbeats

    void removeExpiredMembers(TimePoint now);

    std::map<MemberKey, Member> m_members;
    std::map<std::string, Owner> m_owners; // by failure domain
};

} // namespace Hyssop
