#include "urlquery.h"

#include <boost/algorithm/string.hpp>

#include <vector>

namespace Hyssop::StandIn {

static std::string unescaped(const std::string &text)
{
    std::string plain;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] == '%' && position + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(position + 1, 2), nullptr, 16));
            position += 2;
        } else {
            plain += text[position];
        }
    }
    return plain;
}

std::map<std::string, std::string> parseUrlQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t begin = target.find('?');
    if (begin == std::string::npos) {
        return query;
    }
    std::vector<std::string> pairs;
    const std::string text = target.substr(begin + 1);
    boost::split(pairs, text, boost::is_any_of("&"));
    for (const std::string &pair : pairs) {
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : unescaped(pair.substr(equals + 1));
    }
    return query;
}

} // namespace Hyssop::StandIn
