#include "membershiptable.h"

namespace Hyssop {

// Instances are replaced under new names, so dead members must be removed to bound the memory.
constexpr std::chrono::minutes RemovalTimeout{10};

static MemberState stateFor(Duration sinceHeartbeat)
{
    if (sinceHeartbeat >= MembershipTable::DeadTimeout) {
        return MemberState::Dead;
    }
    return sinceHeartbeat >= MembershipTable::SuspectTimeout ? MemberState::Suspect : MemberState::Alive;
}

bool MembershipTable::recordHeartbeat(const Wire::Heartbeat &heartbeat, TimePoint now)
{
    removeExpiredMembers(now);
    const auto [position, isNew] = m_members.try_emplace({heartbeat.instance, heartbeat.role});
    Member &member = position->second;
    if (!isNew && heartbeat.incarnation < member.heartbeat.incarnation) {
        return false;
    }
    member.heartbeat = heartbeat;
    member.lastHeartbeatAt = now;
    if (heartbeat.owner) {
        Owner &owner = m_owners[heartbeat.domain];
        if (heartbeat.term >= owner.term) {
            owner = {heartbeat.term, now};
        }
    }
    return true;
}

MemberState MembershipTable::state(const std::string &instance, const std::string &role, TimePoint now) const
{
    const auto member = m_members.find({instance, role});
    return member == m_members.end() ? MemberState::Unknown : stateFor(now - member->second.lastHeartbeatAt);
}

std::vector<Wire::Heartbeat> MembershipTable::heartbeats(TimePoint now) const
{
    std::vector<Wire::Heartbeat> result;
    for (const auto &[key, member] : m_members) {
        if (stateFor(now - member.lastHeartbeatAt) != MemberState::Dead) {
            result.push_back(member.heartbeat);
        }
    }
    return result;
}

std::optional<std::chrono::milliseconds> MembershipTable::timeSinceOwnerHeartbeat(const std::string &domain, TimePoint now) const
{
    const auto owner = m_owners.find(domain);
    if (owner == m_owners.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - owner->second.lastHeartbeatAt);
}

void MembershipTable::removeExpiredMembers(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &item) { return now - item.second.lastHeartbeatAt >= RemovalTimeout; });
}

} // namespace Hyssop
