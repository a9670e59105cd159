#pragma once

#include "hyssop_types.h"

#include <contract/contract.h>
#include <utils/result.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Hyssop {

/// Operations of a scheduler that OperatorHandler calls. All functions must be set. An Error in an Outcome is sent as an
/// ErrorReply: InvalidArgument, Refused, NotFound, Conflict, TooLarge and Unavailable mean that the request had no effect;
/// with any other code the effect is unknown.
struct OperatorFunctions
{
    /// Submits a change and waits for its verdict. Must be idempotent: a repeated change id denotes the same change.
    std::function<boost::asio::awaitable<Wire::ConfigApplyReply>(Wire::ConfigChange)> applyChange;
    std::function<Wire::ConfigStateReply(const Wire::ConfigStateRequest &)> configState;
    std::function<Wire::AuditReply(const Wire::AuditRequest &)> audit;
    /// Returns the contract in force, if the customer has one.
    std::function<std::optional<Contract>(const std::string &customer)> contract;
    /// Records a job. Must be idempotent: a repeated job id denotes the same job.
    std::function<boost::asio::awaitable<Outcome<Wire::JobSubmitReply>>(Wire::JobSpec)> submitJob;
    /// Records a cancellation. SubmitVerdict::Queued means that the record is durable.
    std::function<boost::asio::awaitable<Outcome<Wire::JobSubmitReply>>(Wire::JobCancelRequest)> cancelJob;
    std::function<Wire::JobQueryReply(const Wire::JobQuery &)> queryJobs;
    std::function<Wire::StatusReply()> status;
    std::function<Wire::TargetsReply(const Wire::TargetsRequest &)> targets;
};

/// Handles the requests of operators. Validates a request before it calls a function with an effect.
class OperatorHandler
{
public:
    explicit OperatorHandler(OperatorFunctions functions);

    /// True for the types of messages that handle() accepts.
    static bool handles(const Wire::Message &message);

    /// Returns the reply to an operator's request; an ErrorReply for any other message. @p request must outlive the coroutine.
    boost::asio::awaitable<Wire::Message> handle(const Wire::Message &request);

private:
    boost::asio::awaitable<Wire::Message> applyChange(Wire::ConfigChange change);
    boost::asio::awaitable<Wire::Message> submitJob(Wire::JobSpec spec);
    boost::asio::awaitable<Wire::Message> cancelJob(Wire::JobCancelRequest request);
    Wire::Message handleQuery(const Wire::Message &request) const;
    Wire::Message audit(const Wire::AuditRequest &request) const;
    /// Returns an error while the scheduler has not read its state: existing contracts and jobs would seem to be missing.
    std::optional<Error> readinessError() const;
    std::optional<Error> contractError(const Wire::JobSpec &spec) const;

    OperatorFunctions m_functions;
};

} // namespace Hyssop
