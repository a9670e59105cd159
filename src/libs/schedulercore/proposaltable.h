#pragma once

#include <utils/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Hyssop::Internal {

/// Records that were sent to the log and have not been read back from it. Holds at most one record per key.
class ProposalTable
{
public:
    struct Proposal
    {
        std::string key; // job id; prefixed for records that may be outstanding together with others about the same job
        TimePoint proposedAt;
    };

    /// Adds a proposal and returns its id. Replaces an outstanding proposal with the same key.
    std::int64_t add(const std::string &key, TimePoint now);

    bool has(const std::string &key) const { return m_ids.contains(key); }
    /// Removes the proposal for @p key. Returns false if there is none.
    bool resolve(const std::string &key);
    /// Removes the proposal @p id, blocks its key until @p retryAt and returns the key. Returns no value for an unknown
    /// id.
    std::optional<std::string> fail(std::int64_t id, TimePoint retryAt);
    /// Returns true if no proposal is outstanding for @p key and the retry delay after a failure is over.
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
