#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hyssop::Internal {

/// Records that were handed to the log and have not been read back. At most one for each key.
class ProposalTable
{
public:
    struct Proposal
    {
        std::string key; // job id, or a prefixed one for records that don't exclude others about the job
        TimePoint proposedAt;
    };

    /// Notes a proposal and returns its id. It takes the place of another one with the same key.
    std::int64_t add(const std::string &key, TimePoint now);

    bool has(const std::string &key) const { return m_ids.contains(key); }
    /// Removes the proposal for @p key if there is one.
    bool resolve(const std::string &key);
    /// Removes the proposal @p id and keeps its key back until @p retryAt.
    std::optional<std::string> fail(std::int64_t id, TimePoint retryAt);
    /// True if nothing is outstanding for @p key and no failure keeps it back.
    bool mayPropose(const std::string &key, TimePoint now) const;

    /// Time of the oldest outstanding proposal.
    std::optional<TimePoint> oldest() const;
    void clear();

private:
    std::int64_t m_nextId = 1;
    std::map<std::int64_t, Proposal> m_proposals;
    std::map<std::string, std::int64_t> m_ids;
    std::map<std::string, TimePoint> m_retryAt;
};

} // namespace Hyssop::Internal
