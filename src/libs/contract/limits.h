#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Hyssop {

struct Contract;

/// A limit that applies to a service, a team or all work of a customer.
struct Limit
{
    std::string subject; // "customer", "service NAME" or "team NAME"
    std::string name; // for example "request timeout"
    std::string value; // without the unit
    std::string unit; // empty if the value has none
    int line = 0; // line of the contract that sets the limit; line of the section for a default value
    std::int64_t revision = 0; // revision of the contract
    bool isDefault = false; // the contract does not set the key; the default value applies
    std::string rule; // what the limit does, in one sentence
};

/// All limits of one customer. They depend only on the contract and its revision.
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
