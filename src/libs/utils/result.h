#pragma once

#include "error.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

namespace Hyssop {

/// Result of a synchronous operation; a failure carries an Error.
template<typename T>
using Result = boost::leaf::result<T>;

/// Result that can be kept across a coroutine suspension. LEAF stores error objects in the error-handling scope of the
/// calling thread, so a Result must not be kept across a co_await.
template<typename T>
using Outcome = std::variant<T, Error>;

/// Creates a failed Result.
inline boost::leaf::error_id fail(ErrorCode code, std::string message)
{
    return boost::leaf::new_error(Error{code, std::move(message)});
}

/// Runs @p operation, which returns a Result<T>, and converts the result to an Outcome<T>.
template<typename Operation>
auto capture(Operation &&operation)
{
    using Value = std::decay_t<decltype(*operation())>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Outcome<Value>> {
            auto result = operation();
            if (!result) {
                return result.error();
            }
            return Outcome<Value>(std::in_place_index<0>, std::move(*result));
        },
        [](const Error &error) { return Outcome<Value>(std::in_place_index<1>, error); },
        [] {
            return Outcome<Value>(std::in_place_index<1>, Error{ErrorCode::Internal, "unspecified failure"});
        });
}

/// Returns the value of @p outcome, or a null pointer for a failure.
template<typename T>
T *valueOf(Outcome<T> &outcome)
{
    return std::get_if<0>(&outcome);
}

/// Returns the error of @p outcome, or a null pointer for a success.
template<typename T>
const Error *errorOf(const Outcome<T> &outcome)
{
    return std::get_if<1>(&outcome);
}

} // namespace Hyssop
