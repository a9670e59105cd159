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

/// Returns no value if @p target does not name a customer and a service.
std::optional<Route> parseRoute(std::string_view target);

/// A request that is refused before it is read completely.
struct RequestFault
{
    boost::beast::http::status status;
    std::string message;
    const char *counter; // label value for the metrics
};

/// Checks what the parser lets pass: method, Host, Transfer-Encoding and the form of the target.
std::optional<RequestFault> checkRequest(const boost::beast::http::request_header<> &header);

/// Maps a parser error to the answer it gets; no value for errors of the connection itself.
std::optional<RequestFault> faultOf(const boost::system::error_code &error);

/// Checks the value of an Idempotency-Key header: 1 to 255 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view key);

/// Removes header fields that concern one connection only, and the gateway's own fields. Transfer-Encoding is left to
/// the message, and fields that delimit the body stay even if Connection names them.
void removeHopByHopFields(boost::beast::http::fields &fields);

/// Turns a caller's header into the one for the target.
void prepareRequest(boost::beast::http::request_header<> &header, const std::string &target, const std::string &callerAddress, const std::string &requestId);

} // namespace Hyssop::Internal
