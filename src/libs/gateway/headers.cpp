#include "headers.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace Hyssop::Internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t MaximumIdempotencyKeyLength = 255;
constexpr std::array HopByHopFields{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::upgrade,
    http::field::expect,
};
constexpr std::array FramingFields{http::field::content_length, http::field::transfer_encoding, http::field::host};

std::optional<Route> parseRoute(std::string_view target)
{
    if (!target.starts_with('/')) {
        return std::nullopt;
    }
    const std::size_t pathEnd = std::min(target.find('?'), target.size());
    const std::string_view path = target.substr(0, pathEnd);
    const std::size_t customerEnd = path.find('/', 1);
    if (customerEnd == std::string_view::npos || customerEnd == 1) {
        return std::nullopt;
    }
    const std::size_t serviceEnd = std::min(path.find('/', customerEnd + 1), path.size());
    if (serviceEnd == customerEnd + 1) {
        return std::nullopt;
    }
    Route route;
    route.customer = path.substr(1, customerEnd - 1);
    route.service = path.substr(customerEnd + 1, serviceEnd - customerEnd - 1);
    route.rest = target.substr(serviceEnd);
    if (!route.rest.starts_with('/')) {
        route.rest.insert(0, 1, '/');
    }
    return route;
}

std::optional<RequestError> checkRequest(const http::request_header<> &header)
{
    if (header.method() == http::verb::connect || header.method() == http::verb::trace) {
        return RequestError{http::status::method_not_allowed, "the method is not supported", "method"};
    }
    if (header.count(http::field::host) > 1 || (header.version() == 11 && header.count(http::field::host) == 0)) {
        return RequestError{http::status::bad_request, "exactly one Host header is required", "host"};
    }
    // With any other transfer coding, the length of the body is not defined.
    const auto encoding = header.find(http::field::transfer_encoding);
    if (encoding != header.end()) {
        const bool isChunked = header.count(http::field::transfer_encoding) == 1 && beast::iequals(encoding->value(), "chunked");
        if (!isChunked || header.count(http::field::content_length) != 0 || header.version() == 10) {
            return RequestError{http::status::bad_request, "the transfer encoding is not supported", "transfer-encoding"};
        }
    }
    if (!header.target().starts_with('/')) {
        return RequestError{http::status::bad_request, "the request target must begin with a slash", "target"};
    }
    return std::nullopt;
}

std::optional<RequestError> requestErrorOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return RequestError{http::status::request_header_fields_too_large, "the request header is too large", "header-limit"};
    }
    if (error == http::error::body_limit) {
        return RequestError{http::status::payload_too_large, "the request body is too large", "body-limit"};
    }
    if (error == http::error::bad_version) {
        return RequestError{http::status::http_version_not_supported, "the HTTP version is not supported", "version"};
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        return RequestError{http::status::bad_request, "the request is malformed: " + error.message(), "malformed"};
    }
    return std::nullopt;
}

bool isValidIdempotencyKey(std::string_view key)
{
    const bool isVisible = std::ranges::all_of(key, [](unsigned char character) { return character > 0x20 && character < 0x7f; });
    return !key.empty() && key.size() <= MaximumIdempotencyKeyLength && isVisible;
}

void removeHopByHopFields(http::fields &fields)
{
    std::vector<std::string> connectionTokens;
    for (auto [field, end] = fields.equal_range(http::field::connection); field != end; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            connectionTokens.emplace_back(token);
        }
    }
    for (const std::string &name : connectionTokens) {
        if (std::ranges::find(FramingFields, http::string_to_field(name)) == FramingFields.end()) {
            fields.erase(name);
        }
    }
    for (const http::field field : HopByHopFields) {
        fields.erase(field);
    }
    fields.erase(OutcomeHeader);
    fields.erase(RequestIdHeader);
    fields.erase(ReplayedHeader);
}

void prepareRequest(http::request_header<> &header, const std::string &target, const std::string &callerAddress, const std::string &requestId)
{
    removeHopByHopFields(header);
    header.version(11);
    header.target(target);
    std::string forwarded(header["X-Forwarded-For"]);
    forwarded += (forwarded.empty() ? "" : ", ") + callerAddress;
    header.set("X-Forwarded-For", forwarded);
    header.set(RequestIdHeader, requestId);
}

} // namespace Hyssop::Internal
