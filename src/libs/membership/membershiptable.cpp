#include "membershiptable.h"

namespace Hyssop {

// Instances are replaced under new names; dead ones must not fill the memory.
constexpr std::chrono::minutes ForgetAfter{10};

static MemberState stateAfter(Duration silence)
{
    if (silence >= MembershipTable::DeadTimeout) {
        return MemberState::Dead;
    }
    return silence >= MembershipTable::SuspectTimeout ? MemberState::Suspect : MemberState::Alive;
}

bool MembershipTable::recordHeartbeat(const Wire::Heartbeat &heartbeat, TimePoint now)
{
    forgetOldMembers(now);
    const auto [position, isNew] = m_members.try_emplace({heartbeat.instance, heartbeat.role});
    Member &member = position->second;
    if (!isNew && heartbeat.incarnation < member.heartbeat.incarnation) {
        return false;
    }
    member.heartbeat = heartbeat;
    member.heardAt = now;
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
    return member == m_members.end() ? MemberState::Unknown : stateAfter(now - member->second.heardAt);
}

std::vector<Wire::Heartbeat> MembershipTable::heartbeats(TimePoint now) const
{
    std::vector<Wire::Heartbeat> result;
    for (const auto &[key, member] : m_members) {
        if (stateAfter(now - member.heardAt) != MemberState::Dead) {
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
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - owner->second.heardAt);
}

void MembershipTable::forgetOldMembers(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &item) { return now - item.second.heardAt >= ForgetAfter; });
}

} // namespace Hyssop
