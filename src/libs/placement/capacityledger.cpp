#include "capacityledger.h"

namespace Hyssop::Internal {

void CapacityLedger::setCapacity(std::uint32_t worker, const Resources &capacity)
{
    grow(worker);
    m_total -= m_accounts[worker].capacity;
    m_total += capacity;
    m_accounts[worker].capacity = capacity;
}

bool CapacityLedger::tryCommit(std::uint32_t worker, const Resources &amount)
{
    grow(worker);
    Account &account = m_accounts[worker];
    if (!(account.committed + amount).fitsIn(account.capacity)) {
        return false;
    }
    account.committed += amount;
    return true;
}

void CapacityLedger::forceCommit(std::uint32_t worker, const Resources &amount)
{
    grow(worker);
    m_accounts[worker].committed += amount;
}

void CapacityLedger::release(std::uint32_t worker, const Resources &amount)
{
    grow(worker);
    m_accounts[worker].committed -= amount;
}

void CapacityLedger::grow(std::uint32_t worker)
{
    if (worker >= m_accounts.size()) {
        m_accounts.resize(worker + 1);
    }
}

} // namespace Hyssop::Internal
