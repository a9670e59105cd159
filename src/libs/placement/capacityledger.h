#pragma once

#include <utils/resources.h>

#include <cstdint>
#include <vector>

namespace Hyssop::Internal {

/// Tracks the capacity and the committed resources of each worker. tryCommit() never exceeds a worker's capacity (invariant
/// P1).
class CapacityLedger
{
public:
    void setCapacity(std::uint32_t worker, const Resources &capacity);

    /// Commits @p amount and returns true if it fits into the uncommitted capacity; otherwise changes nothing.
    bool tryCommit(std::uint32_t worker, const Resources &amount);

    /// Commits @p amount for a task that already runs, even if this overcommits the worker. tryCommit() fails until the worker is
    /// no longer overcommitted.
    void forceCommit(std::uint32_t worker, const Resources &amount);

    void release(std::uint32_t worker, const Resources &amount);

    const Resources &capacity(std::uint32_t worker) const { return m_accounts[worker].capacity; }
    const Resources &committed(std::uint32_t worker) const { return m_accounts[worker].committed; }

    /// Returns the sum of the capacities of all workers.
    const Resources &totalCapacity() const { return m_total; }

private:
    struct Account
    {
        Resources capacity;
        Resources committed;
    };

    void grow(std::uint32_t worker);

    std::vector<Account> m_accounts;
    Resources m_total;
};

} // namespace Hyssop::Internal
