#include "operatorclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace Hyssop {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace Internal {

constexpr int MaximumRounds = 3; // a round tries all addresses; repeated while the effect of the operation is unknown
constexpr milliseconds RoundDelay{200};

/// Divides the timeout of an operation among its attempts.
class AttemptBudget
{
public:
    AttemptBudget(milliseconds timeout, std::size_t addresses)
        : m_deadline(std::chrono::steady_clock::now() + timeout)
        , m_addresses(addresses)
    {
    }

    bool isExhausted() const { return remaining() <= milliseconds::zero(); }

    /// Timeout of the attempt at the address with the given index. Leaves an equal part for each later address.
    milliseconds timeoutFor(std::size_t index) const
    {
        const auto remainingAddresses = static_cast<std::int64_t>(m_addresses - index);
        return std::max(milliseconds(1), remaining() / remainingAddresses);
    }

private:
    milliseconds remaining() const { return std::chrono::duration_cast<milliseconds>(m_deadline - std::chrono::steady_clock::now()); }

    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_addresses;
};

static ErrorCode errorCodeFromName(const std::string &name)
{
    constexpr std::array Codes{ErrorCode::InvalidArgument,
                               ErrorCode::Malformed,
                               ErrorCode::TooLarge,
                               ErrorCode::NotFound,
                               ErrorCode::Unavailable,
                               ErrorCode::Timeout,
                               ErrorCode::Closed,
                               ErrorCode::Conflict,
                               ErrorCode::Refused};
    const auto found = std::ranges::find_if(Codes, [&](ErrorCode code) { return name == errorCodeName(code); });
    return found == Codes.end() ? ErrorCode::Internal : *found;
}

/// True if an error reply with @p code means that the request certainly had no effect.
static bool isCertainlyWithoutEffect(ErrorCode code)
{
    return code != ErrorCode::Timeout && code != ErrorCode::Closed && code != ErrorCode::Internal;
}

enum class Effect {
    Final, // the reply is the final result of the operation
    None, // this attempt certainly had no effect
    Unknown,
};

static Effect effectOf(const Wire::Message &reply)
{
    if (reply.__isset.configApplyReply) {
        switch (reply.configApplyReply.verdict) {
        case Wire::ChangeVerdict::Accepted:
        case Wire::ChangeVerdict::Conflict:
            return Effect::Final;
        case Wire::ChangeVerdict::Refused:
        case Wire::ChangeVerdict::Unavailable:
            return Effect::None;
        case Wire::ChangeVerdict::Unknown:
            return Effect::Unknown;
        }
        return Effect::Unknown;
    }
    if (reply.__isset.jobSubmitReply) {
        switch (reply.jobSubmitReply.verdict) {
        case Wire::SubmitVerdict::Queued:
            return Effect::Final;
        case Wire::SubmitVerdict::NotRun:
            return Effect::None;
        case Wire::SubmitVerdict::Undetermined:
            return Effect::Unknown;
        }
    }
    return Effect::Unknown;
}

static std::string messageOf(const Wire::Message &reply)
{
    return reply.__isset.configApplyReply ? reply.configApplyReply.message : reply.jobSubmitReply.message;
}

static bool isRefusal(const Wire::Message &reply)
{
    return reply.__isset.configApplyReply && reply.configApplyReply.verdict == Wire::ChangeVerdict::Refused;
}

/// True if the request may succeed at another scheduler.
static bool isRetryableElsewhere(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::Timeout || code == ErrorCode::Closed || code == ErrorCode::Internal;
}

template<typename Reply, typename IsSet>
static Outcome<Reply> replyOf(Outcome<Wire::Message> &outcome, IsSet isSet, Reply Wire::Message::*member)
{
    if (const Error *error = errorOf(outcome)) {
        return *error;
    }
    if (!isSet(valueOf(outcome)->__isset)) {
        return Error{ErrorCode::Malformed, "the scheduler sent a reply of an unexpected type"};
    }
    return std::move(valueOf(outcome)->*member);
}

} // namespace Internal

using Internal::Effect;

/// Result of sending one message to one scheduler.
struct OperatorClient::Attempt
{
    Outcome<Wire::Message> outcome;
    bool hasReply = false; // an error in the outcome comes from the scheduler's reply
};

/// The combined result of all attempts so far at an operation with an effect.
struct OperatorClient::Write
{
    Effect effect = Effect::None;
    std::optional<Wire::Message> reply; // the final result or refusal of a scheduler
    std::optional<Error> refusal; // set if a scheduler refused the operation with an ErrorReply
    std::string message;

    /// Returns true if no further attempt is needed.
    bool add(const Attempt &attempt);

private:
    bool addError(const Error &error, bool hasReply);
    bool addReply(const Wire::Message &received);
};

bool OperatorClient::Write::add(const Attempt &attempt)
{
    const Error *error = errorOf(attempt.outcome);
    return error != nullptr ? addError(*error, attempt.hasReply) : addReply(std::get<0>(attempt.outcome));
}

bool OperatorClient::Write::addError(const Error &error, bool hasReply)
{
    message = error.message;
    const bool withoutEffect = hasReply ? Internal::isCertainlyWithoutEffect(error.code) : error.code == ErrorCode::Unavailable;
    if (!withoutEffect) {
        effect = Effect::Unknown;
        return false;
    }
    if (!hasReply || Internal::isRetryableElsewhere(error.code)) {
        return false;
    }
    refusal = error;
    return true;
}

bool OperatorClient::Write::addReply(const Wire::Message &received)
{
    message = Internal::messageOf(received);
    switch (Internal::effectOf(received)) {
    case Effect::Final:
        effect = Effect::Final;
        reply = received;
        return true;
    case Effect::Unknown:
        effect = Effect::Unknown;
        return false;
    case Effect::None:
        break;
    }
    if (Internal::isRefusal(received)) {
        reply = received;
        return true;
    }
    return false;
}

OperatorClient::OperatorClient(asio::any_io_executor executor, OperatorClientOptions options)
    : m_client(std::move(executor))
    , m_options(std::move(options))
{
}

const std::string &OperatorClient::domain() const
{
    return m_options.domain;
}

asio::awaitable<OperatorClient::Attempt> OperatorClient::attempt(std::string address, Wire::Message message, milliseconds timeout)
{
    // Not assigned to a member directly: GCC 12 would destroy the awaited value twice.
    auto outcome = co_await m_client.call(address, std::move(message), timeout);
    Attempt result;
    result.outcome = std::move(outcome);
    if (const Error *error = errorOf(result.outcome)) {
        result.outcome = Error{error->code, address + ": " + error->message};
        co_return result;
    }
    result.hasReply = true;
    const Wire::Message &reply = *valueOf(result.outcome);
    if (reply.__isset.error) {
        result.outcome = Error{Internal::errorCodeFromName(reply.error.code), reply.error.message};
    }
    co_return result;
}

asio::awaitable<bool> OperatorClient::isInDomain(std::string address, milliseconds timeout)
{
    Wire::Message request;
    request.__set_statusRequest({});
    auto result = co_await attempt(std::move(address), std::move(request), timeout);
    const auto *reply = valueOf(result.outcome);
    if (reply == nullptr || !reply->__isset.statusReply) {
        co_return false;
    }
    if (m_options.domain.empty()) {
        m_options.domain = reply->statusReply.domain;
    }
    co_return reply->statusReply.domain == m_options.domain;
}

asio::awaitable<Outcome<Wire::Message>> OperatorClient::read(Wire::Message message, Scope scope)
{
    Outcome<Wire::Message> last = Error{ErrorCode::Unavailable, "no scheduler of the failure domain can be reached"};
    std::optional<Wire::Message> incomplete;
    const Internal::AttemptBudget budget(m_options.timeout, m_options.addresses.size());
    for (std::size_t index = 0; index < m_options.addresses.size() && !budget.isExhausted(); ++index) {
        const std::string address = m_options.addresses[index];
        if (scope == Scope::OneDomain && !co_await isInDomain(address, budget.timeoutFor(index))) {
            continue;
        }
        auto result = co_await attempt(address, message, budget.timeoutFor(index));
        last = std::move(result.outcome);
        if (const Error *error = errorOf(last)) {
            if (result.hasReply && !Internal::isRetryableElsewhere(error->code)) {
                co_return last;
            }
            continue;
        }
        const Wire::Message &reply = *valueOf(last);
        if (!reply.__isset.configStateReply || reply.configStateReply.ready) {
            co_return last;
        }
        // This scheduler has not read the whole configuration yet.
        incomplete = reply;
    }
    if (incomplete) {
        co_return *incomplete;
    }
    co_return last;
}

asio::awaitable<OperatorClient::Write> OperatorClient::write(Wire::Message message, Scope scope)
{
    Write result;
    result.message = "no scheduler of the failure domain can be reached";
    const Internal::AttemptBudget budget(m_options.timeout, m_options.addresses.size());
    for (int round = 0; round < Internal::MaximumRounds; ++round) {
        for (std::size_t index = 0; index < m_options.addresses.size() && !budget.isExhausted(); ++index) {
            const std::string address = m_options.addresses[index];
            if (scope == Scope::OneDomain && !co_await isInDomain(address, budget.timeoutFor(index))) {
                continue;
            }
            const Attempt latest = co_await attempt(address, message, budget.timeoutFor(index));
            if (result.add(latest)) {
                co_return result;
            }
        }
        if (result.effect != Effect::Unknown || budget.isExhausted()) {
            break;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, Internal::RoundDelay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return result;
}

asio::awaitable<Wire::ConfigApplyReply> OperatorClient::apply(Wire::ConfigChange change)
{
    Wire::ConfigApplyRequest request;
    request.change = change;
    Wire::Message message;
    message.__set_configApplyRequest(request);
    const Write result = co_await write(std::move(message), Scope::AnyDomain);
    Wire::ConfigApplyReply reply;
    reply.message = result.message;
    if (result.effect == Effect::Unknown) {
        // A refusal applies only to its own attempt; an earlier attempt may have taken effect.
        reply.verdict = Wire::ChangeVerdict::Unknown;
    } else if (result.reply) {
        reply = result.reply->configApplyReply;
    } else {
        reply.verdict = result.refusal ? Wire::ChangeVerdict::Refused : Wire::ChangeVerdict::Unavailable;
    }
    if (reply.verdict == Wire::ChangeVerdict::Conflict && reply.current.changeId == change.changeId) {
        // The accepted change is this one, from an earlier attempt whose reply was lost.
        reply.verdict = Wire::ChangeVerdict::Accepted;
        reply.revision = reply.current.revision;
    }
    co_return reply;
}

asio::awaitable<Outcome<Wire::JobSubmitReply>> OperatorClient::writeJob(Wire::Message message)
{
    const Write result = co_await write(std::move(message), Scope::OneDomain);
    Wire::JobSubmitReply withoutVerdict;
    withoutVerdict.message = result.message;
    if (result.effect == Effect::Unknown) {
        // A refusal applies only to its own attempt; an earlier attempt may have taken effect.
        withoutVerdict.verdict = Wire::SubmitVerdict::Undetermined;
        co_return withoutVerdict;
    }
    if (result.refusal) {
        co_return *result.refusal;
    }
    if (result.reply) {
        co_return result.reply->jobSubmitReply;
    }
    withoutVerdict.verdict = Wire::SubmitVerdict::NotRun;
    co_return withoutVerdict;
}

asio::awaitable<Outcome<Wire::JobSubmitReply>> OperatorClient::submit(Wire::JobSpec spec)
{
    Wire::JobSubmitRequest request;
    request.spec = std::move(spec);
    Wire::Message message;
    message.__set_jobSubmitRequest(request);
    co_return co_await writeJob(std::move(message));
}

asio::awaitable<Outcome<Wire::JobSubmitReply>> OperatorClient::cancel(Wire::JobCancelRequest request)
{
    Wire::Message message;
    message.__set_jobCancelRequest(request);
    co_return co_await writeJob(std::move(message));
}

asio::awaitable<Outcome<Wire::ConfigStateReply>> OperatorClient::state(std::string key)
{
    Wire::ConfigStateRequest request;
    request.key = std::move(key);
    Wire::Message message;
    message.__set_configStateRequest(request);
    auto outcome = co_await read(std::move(message), Scope::AnyDomain);
    co_return Internal::replyOf(
        outcome, [](const auto &set) { return set.configStateReply; }, &Wire::Message::configStateReply);
}

asio::awaitable<Outcome<Wire::AuditReply>> OperatorClient::audit(Wire::AuditRequest request)
{
    Wire::Message message;
    message.__set_auditRequest(request);
    auto outcome = co_await read(std::move(message), Scope::AnyDomain);
    co_return Internal::replyOf(
        outcome, [](const auto &set) { return set.auditReply; }, &Wire::Message::auditReply);
}

asio::awaitable<Outcome<Wire::JobQueryReply>> OperatorClient::jobs(Wire::JobQuery query)
{
    Wire::Message message;
    message.__set_jobQuery(query);
    auto outcome = co_await read(std::move(message), Scope::OneDomain);
    co_return Internal::replyOf(
        outcome, [](const auto &set) { return set.jobQueryReply; }, &Wire::Message::jobQueryReply);
}

asio::awaitable<Outcome<Wire::TargetsReply>> OperatorClient::targets()
{
    Wire::Message message;
    message.__set_targetsRequest({});
    auto outcome = co_await read(std::move(message), Scope::OneDomain);
    co_return Internal::replyOf(
        outcome, [](const auto &set) { return set.targetsReply; }, &Wire::Message::targetsReply);
}

asio::awaitable<std::vector<OperatorClient::AddressedStatus>> OperatorClient::statuses()
{
    std::vector<AddressedStatus> statuses;
    const Internal::AttemptBudget budget(m_options.timeout, m_options.addresses.size());
    for (std::size_t index = 0; index < m_options.addresses.size(); ++index) {
        const std::string address = m_options.addresses[index];
        Wire::Message message;
        message.__set_statusRequest({});
        auto result = co_await attempt(address, std::move(message), budget.timeoutFor(index));
        statuses.emplace_back(address,
                              Internal::replyOf(
                                  result.outcome, [](const auto &set) { return set.statusReply; }, &Wire::Message::statusReply));
    }
    co_return statuses;
}

} // namespace Hyssop
