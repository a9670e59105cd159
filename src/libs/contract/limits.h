#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

struct Contract;

/// One limit that a customer's work runs under.
struct Limit
{
    std::string subject; // "customer", "service NAME" or "team NAME"
    std::string name; // for example "request timeout"
    std::string value; // without unit
    std::string unit; // empty if the value has none
    int line = 0; // contract line that the limit follows from; the section's line for a default
    std::int64_t revision = 0; // revision of the contract
    bool isDefault = false; // the contract does not set the key
    std::string rule; // what the limit does, in one sentence
};

/// Every limit of one customer, derived from the contract and from nothing else.
struct Limits
{
    std::string customer;
    std::int64_t revision = 0;
    std::vector<Limit> entries;

    static Limits derive(const Contract &contract, std::int64_t revision);

    /// Returns a null pointer if there is no such limit.
    const Limit *find(std::string_view subject, std::string_view name) const;
};

} // namespace Hyssop
