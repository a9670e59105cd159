#pragma once

#include <cstdint>
#include <vector>

namespace Hyssop::Internal {

/// Limits the evictions of each customer to a share of its batch tasks that were started. Evictions for urgent and service
/// tasks count, but are not limited.
class EvictionBudget
{
public:
    void setShare(std::uint32_t customer, double share) { accountOf(customer).share = share; }
    void countStart(std::uint32_t customer) { ++accountOf(customer).started; }
    void countEviction(std::uint32_t customer) { ++accountOf(customer).evicted; }

    bool allows(std::uint32_t customer) const
    {
        if (customer >= m_accounts.size()) {
            return false;
        }
        const Account &account = m_accounts[customer];
        return static_cast<double>(account.evicted + 1) <= account.share * static_cast<double>(account.started);
    }

private:
    struct Account
    {
        double share = 0;
        std::int64_t started = 0;
        std::int64_t evicted = 0;
    };

    Account &accountOf(std::uint32_t customer)
    {
        if (customer >= m_accounts.size()) {
            m_accounts.resize(customer + 1);
        }
        return m_accounts[customer];
    }

    std::vector<Account> m_accounts;
};

} // namespace Hyssop::Internal
