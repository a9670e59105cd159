#pragma once

#include "hyssop_types.h"

#include <contract/contract.h>
#include <utils/result.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Hyssop {

/// What a scheduler does for operators. Every function has to be set. An Error in an Outcome becomes an ErrorReply:
/// InvalidArgument, Refused, NotFound, Conflict, TooLarge and Unavailable mean that the request had no effect; after
/// any other code the effect is unknown.
struct OperatorFunctions
{
    /// Submits a change and waits for its verdict. Must treat a change id that it has seen as the same change.
    std::function<boost::asio::awaitable<Wire::ConfigApplyReply>(Wire::ConfigChange)> applyChange;
    std::function<Wire::ConfigStateReply(const Wire::ConfigStateRequest &)> configState;
    std::function<Wire::AuditReply(const Wire::AuditRequest &)> audit;
    /// The contract in force, if the customer has one.
    std::function<std::optional<Contract>(const std::string &customer)> contract;
    /// Records a job. Must treat a job id that it has seen as the same job.
    std::function<boost::asio::awaitable<Outcome<Wire::JobSubmitReply>>(Wire::JobSpec)> submitJob;
    /// Records a cancellation; SubmitVerdict::Queued means that it is durable.
    std::function<boost::asio::awaitable<Outcome<Wire::JobSubmitReply>>(Wire::JobCancelRequest)> cancelJob;
    std::function<Wire::JobQueryReply(const Wire::JobQuery &)> queryJobs;
    std::function<Wire::StatusReply()> status;
    std::function<Wire::TargetsReply(const Wire::TargetsRequest &)> targets;
};

/// Server side of the operator messages. Checks input before any function with an effect is called.
class OperatorHandler
{
public:
    explicit OperatorHandler(OperatorFunctions functions);

    /// True for the messages that handle() answers.
    static bool handles(const Wire::Message &message);

    /// Answers one operator message; any other message gets an ErrorReply. @p request must outlive the coroutine.
    boost::asio::awaitable<Wire::Message> handle(const Wire::Message &request);

private:
    boost::asio::awaitable<Wire::Message> applyChange(Wire::ConfigChange change);
    boost::asio::awaitable<Wire::Message> submitJob(Wire::JobSpec spec);
    boost::asio::awaitable<Wire::Message> cancelJob(Wire::JobCancelRequest request);
    Wire::Message answerQuery(const Wire::Message &request) const;
    Wire::Message audit(const Wire::AuditRequest &request) const;
    /// A scheduler that has not read its state would take a contract or job for missing.
    std::optional<Error> readinessFault() const;
    std::optional<Error> contractFault(const Wire::JobSpec &spec) const;

    OperatorFunctions m_functions;
};

} // namespace Hyssop
