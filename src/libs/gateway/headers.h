#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Hyssop::Internal {

constexpr const char *OutcomeHeader = "Hyssop-Outcome";
constexpr const char *RequestIdHeader = "Hyssop-Request-Id";
constexpr const char *ReplayedHeader = "Hyssop-Replayed";
constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

/// Parts of a request target "/<customer>/<service>/...".
struct Route
{
    std::string customer;
    std::string service;
    std::string rest; // with a leading slash and the query
};

/// Returns nullopt if @p target does not contain a customer and a service.
std::optional<Route> parseRoute(std::string_view target);

/// Error response to a request that is rejected before it has been read completely.
struct RequestError
{
    boost::beast::http::status status;
    std::string message;
    const char *counter; // value of the metric label "reason"
};

/// Checks what the parser accepts but the gateway does not support: method, Host, Transfer-Encoding and the form of
/// the target.
std::optional<RequestError> checkRequest(const boost::beast::http::request_header<> &header);

/// Maps a parser error to an error response. Returns nullopt for errors of the connection.
std::optional<RequestError> requestErrorOf(const boost::system::error_code &error);

/// Checks the value of an Idempotency-Key header: 1 to 255 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view key);

/// Removes hop-by-hop header fields and the gateway's own fields. Transfer-Encoding is left to the message class. Host
/// and the fields that delimit the body stay even if the Connection field lists them.
void removeHopByHopFields(boost::beast::http::fields &fields);

/// Rewrites the request header of a caller into the one for the target.
void prepareRequest(boost::beast::http::request_header<> &header, const std::string &target, const std::string &callerAddress, const std::string &requestId);

} // namespace Hyssop::Internal
