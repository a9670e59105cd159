#pragma once

namespace Hyssop {

/// Builds one visitor for std::visit from several lambdas.
template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace Hyssop
