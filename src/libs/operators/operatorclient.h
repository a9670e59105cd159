#pragma once

#include "hyssop_types.h"

#include <utils/result.h>
#include <wire/rpcclient.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Hyssop {

struct OperatorClientOptions
{
    std::vector<std::string> addresses; // of schedulers, "IP-ADDRESS:PORT", tried in this order
    std::chrono::milliseconds timeout{10000}; // for one operation, including all attempts
    std::string domain; // for job operations; if empty, the failure domain of the first scheduler that replies
};

/// Client of the operator API. An operation with an effect is retried at other schedulers under the same id, so it takes
/// effect at most once. All job operations go to one failure domain, because a job id is known only to the schedulers of
/// its domain. A result that says that an operation had no effect is returned only if this is certain for every attempt.
class OperatorClient
{
public:
    OperatorClient(boost::asio::any_io_executor executor, OperatorClientOptions options);

    /// Submits a change. The verdict is Unavailable if nothing was written, and Unknown if the caller has to send the same
    /// change again to learn its verdict.
    boost::asio::awaitable<Wire::ConfigApplyReply> apply(Wire::ConfigChange change);

    /// Submits a job. The verdict is NotRun if nothing was recorded, and Undetermined if the caller has to send the same
    /// job again to learn its verdict. An Error gives the scheduler's reason for a refusal.
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> submit(Wire::JobSpec spec);
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> cancel(Wire::JobCancelRequest request);

    /// Reads one key, or all keys if @p key is empty. Prefers a scheduler whose state is complete.
    boost::asio::awaitable<Outcome<Wire::ConfigStateReply>> state(std::string key);
    boost::asio::awaitable<Outcome<Wire::AuditReply>> audit(Wire::AuditRequest request);
    boost::asio::awaitable<Outcome<Wire::JobQueryReply>> jobs(Wire::JobQuery query);
    boost::asio::awaitable<Outcome<Wire::TargetsReply>> targets();

    using AddressedStatus = std::pair<std::string, Outcome<Wire::StatusReply>>;
    /// Queries the status of every scheduler.
    boost::asio::awaitable<std::vector<AddressedStatus>> statuses();

    /// The failure domain that job operations go to; empty before the first one unless the options set it.
    const std::string &domain() const;

private:
    struct Attempt;
    struct Write;
    enum class Scope { AnyDomain, OneDomain };

    boost::asio::awaitable<Attempt> attempt(std::string address, Wire::Message message, std::chrono::milliseconds timeout);
    boost::asio::awaitable<Outcome<Wire::Message>> read(Wire::Message message, Scope scope);
    boost::asio::awaitable<Write> write(Wire::Message message, Scope scope);
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> writeJob(Wire::Message message);
    boost::asio::awaitable<bool> isInDomain(std::string address, std::chrono::milliseconds timeout);

    RpcClient m_client;
    OperatorClientOptions m_options;
};

} // namespace Hyssop
