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
    Unknown, // never heard, or forgotten
    Alive,
    Suspect, // silent for 2 s
    Dead, // silent for 5 s
};

/// Instances of which heartbeats were received. Does no I/O. No safety property depends on it.
class MembershipTable
{
public:
    static constexpr std::chrono::milliseconds SuspectTimeout{2000};
    static constexpr std::chrono::milliseconds DeadTimeout{5000};

    /// Takes a heartbeat. Returns false, without effect, for an incarnation older than the one known.
    bool recordHeartbeat(const Wire::Heartbeat &heartbeat, TimePoint now);

    MemberState state(const std::string &instance, const std::string &role, TimePoint now) const;

    /// Last heartbeats of the members that are not dead, by instance and role.
    std::vector<Wire::Heartbeat> heartbeats(TimePoint now) const;

    /// Time since the owner of @p domain was last heard; no value if it never was. Of several instances that claim to be
    /// the owner, the one with the highest term counts.
    std::optional<std::chrono::milliseconds> timeSinceOwnerHeartbeat(const std::string &domain, TimePoint now) const;

private:
    struct Member
    {
        Wire::Heartbeat heartbeat;
        TimePoint heardAt;
    };

    struct Owner
    {
        std::int64_t term = -1;
        TimePoint heardAt;
    };

    using MemberKey = std::pair<std::string, std::string>; // instance, role: both daemons of an instance send heartbeats

    void forgetOldMembers(TimePoint now);

    std::map<MemberKey, Member> m_members;
    std::map<std::string, Owner> m_owners; // by failure domain
};

} // namespace Hyssop
