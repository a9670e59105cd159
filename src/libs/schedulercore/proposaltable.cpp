#include "proposaltable.h"

namespace Hyssop::Internal {

std::int64_t ProposalTable::add(const std::string &key, TimePoint now)
{
    resolve(key);
    const std::int64_t id = m_nextId++;
    m_proposals[id] = {key, now};
    m_ids[key] = id;
    return id;
}

bool ProposalTable::resolve(const std::string &key)
{
    m_retryAt.erase(key);
    const auto found = m_ids.find(key);
    if (found == m_ids.end()) {
        return false;
    }
    m_proposals.erase(found->second);
    m_ids.erase(found);
    return true;
}

std::optional<std::string> ProposalTable::fail(std::int64_t id, TimePoint retryAt)
{
    const auto found = m_proposals.find(id);
    if (found == m_proposals.end()) {
        return std::nullopt;
    }
    const std::string key = found->second.key;
    m_ids.erase(key);
    m_proposals.erase(found);
    m_retryAt[key] = retryAt;
    return key;
}

bool ProposalTable::mayPropose(const std::string &key, TimePoint now) const
{
    const auto retry = m_retryAt.find(key);
    return !has(key) && (retry == m_retryAt.end() || now >= retry->second);
}

std::optional<TimePoint> ProposalTable::oldest() const
{
    // Ids increase with time.
    return m_proposals.empty() ? std::nullopt : std::optional(m_proposals.begin()->second.proposedAt);
}

void ProposalTable::clear()
{
    m_proposals.clear();
    m_ids.clear();
    m_retryAt.clear();
}

} // namespace Hyssop::Internal
