#pragma once

#include <utils/resources.h>

#include <cstdint>
#include <vector>

namespace Hyssop::Internal {

/// Accounts for what is committed on each worker. tryCommit() never exceeds a worker's capacity (invariant P1).
class CapacityLedger
{
public:
    void setCapacity(std::uint32_t worker, const Resources &capacity);

    /// Commits @p amount if it fits beside everything that is committed; otherwise changes nothing.
    bool tryCommit(std::uint32_t worker, const Resources &amount);

    /// Commits @p amount of a task that runs already. The worker may be overcommitted by it; nothing more fits then.
    void forceCommit(std::uint32_t worker, const Resources &amount);

    void release(std::uint32_t worker, const Resources &amount);

    const Resources &capacity(std::uint32_t worker) const { return m_accounts[worker].capacity; }
    const Resources &committed(std::uint32_t worker) const { return m_accounts[worker].committed; }

    /// Capacity of all workers together.
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
