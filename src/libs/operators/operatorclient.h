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
    std::chrono::milliseconds timeout{10000}; // for one operation, all attempts together
    std::string domain; // for jobs; empty: the failure domain of the first scheduler that answers
};

/// Client of the operator API. An operation with an effect is sent to a further scheduler under the same id, so it takes
/// effect at most once. Job operations stay in one failure domain, because a job id is known only to the schedulers of
/// its domain. "Certainly not done" is returned only if this holds for every attempt.
class OperatorClient
{
public:
    OperatorClient(boost::asio::any_io_executor executor, OperatorClientOptions options);

    /// The verdict is Unavailable if nothing was written and Unknown if the same change has to be sent again.
    boost::asio::awaitable<Wire::ConfigApplyReply> apply(Wire::ConfigChange change);

    /// The verdict is NotRun if nothing was recorded and Undetermined if the same job has to be sent again. An Error
    /// says why the scheduler refused.
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> submit(Wire::JobSpec spec);
    boost::asio::awaitable<Outcome<Wire::JobSubmitReply>> cancel(Wire::JobCancelRequest request);

    /// Asks for one key, or for all if @p key is empty. Prefers a scheduler whose state is complete.
    boost::asio::awaitable<Outcome<Wire::ConfigStateReply>> state(std::string key);
    boost::asio::awaitable<Outcome<Wire::AuditReply>> audit(Wire::AuditRequest request);
    boost::asio::awaitable<Outcome<Wire::JobQueryReply>> jobs(Wire::JobQuery query);
    boost::asio::awaitable<Outcome<Wire::TargetsReply>> targets();

    using AddressedStatus = std::pair<std::string, Outcome<Wire::StatusReply>>;
    /// Asks every scheduler.
    boost::asio::awaitable<std::vector<AddressedStatus>> statuses();

    /// The failure domain that job operations go to; empty before the first one if none was set.
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
