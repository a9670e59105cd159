#pragma once

#include "hyssop_types.h"

#include <contract/contract.h>
#include <jobs/jobledger.h>

#include <map>
#include <string>
#include <vector>

namespace Hyssop::Internal {

/// Submissions and cancellations that bring the service tasks in the ledger to the state that the contracts specify.
struct ReplicaChanges
{
    std::vector<Wire::JobSpec> submissions;
    std::vector<std::string> cancellations; // job ids
};

/// Derives the service tasks of a failure domain from the contracts.
class ReplicaPlanner
{
public:
    void setContracts(const std::vector<Contract> &contracts);

    /// Returns false until the contracts are known. Nothing is cancelled before that.
    bool ready() const { return m_ready; }
    /// Returns the priority that the contract gives the service of @p spec.
    int priority(const Wire::JobSpec &spec) const;

    ReplicaChanges plan(const JobLedger &ledger) const;

private:
    bool otherReplicasRun(const JobLedger &ledger, const Wire::JobSpec &replaced) const;

    bool m_ready = false;
    std::map<std::string, Wire::JobSpec> m_desired; // by job id
    std::map<std::pair<std::string, std::string>, int> m_priorities; // by customer and service
};

} // namespace Hyssop::Internal
