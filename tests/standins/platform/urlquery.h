#pragma once

#include <map>
#include <string>

namespace Hyssop::StandIn {

/// Returns the parameters of the query in @p target, unescaped.
std::map<std::string, std::string> parseUrlQuery(const std::string &target);

} // namespace Hyssop::StandIn
