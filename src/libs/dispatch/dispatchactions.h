#pragma once

#include <ports/keyedrecord.h>
#include <ports/orders.h>

#include <string>
#include <variant>
#include <vector>

namespace Hyssop {

/// Appends records to the job topic at the owner's next position.
struct StoreRecords
{
    std::vector<KeyedRecord> records;
};

/// Asks the advice service which of the workers may run a step.
struct AskAdvice
{
    TaskId step; // the index is unused
    std::vector<std::string> workers;
};

/// A worker has seen an order of a later owner.
struct GiveUpOwnership
{
};

using DispatchAction = std::variant<StartOrder, StopOrder, PaceOrder, PollOrder, StoreRecords, AskAdvice, GiveUpOwnership>;

} // namespace Hyssop
