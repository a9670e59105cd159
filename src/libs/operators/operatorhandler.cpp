#include "operatorhandler.h"

#include "requestcheck.h"

#include <wire/codec.h>
#include <wire/errormessage.h>

#include <utility>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

// Leaves space for the envelope around the message.
constexpr std::size_t MaximumReplySize = MaximumWireMessageSize - 1024;

static Wire::Message submitMessage(const Outcome<Wire::JobSubmitReply> &outcome)
{
    if (const Error *error = errorOf(outcome)) {
        return errorMessage(*error);
    }
    Wire::Message message;
    message.__set_jobSubmitReply(std::get<0>(outcome));
    return message;
}

static bool fitsInFrame(const Wire::Message &message)
{
    Wire::Envelope envelope;
    envelope.message = message;
    return encode(envelope).size() <= MaximumReplySize;
}

static Wire::Message limitReplySize(Wire::Message message)
{
    if (fitsInFrame(message)) {
        return message;
    }
    return errorMessage({ErrorCode::TooLarge, "the reply is larger than 1 MiB; ask for less"});
}

static std::optional<Error> teamError(const Wire::JobSpec &spec, const TeamContract &team)
{
    if (spec.urgent && !team.urgent) {
        return Error{ErrorCode::Refused, "team " + team.name + " may not submit urgent jobs (contract line " + std::to_string(team.line) + ")"};
    }
    const Resources declared{spec.declared.milliCores, spec.declared.memoryBytes, spec.declared.accelerators, spec.declared.slots};
    if (!declared.fitsIn(team.quota)) {
        return Error{ErrorCode::Refused, "the job is larger than the quota of team " + team.name + " (contract line " + std::to_string(team.line) + ")"};
    }
    return std::nullopt;
}

} // namespace Internal

OperatorHandler::OperatorHandler(OperatorFunctions functions)
    : m_functions(std::move(functions))
{
}

bool OperatorHandler::handles(const Wire::Message &message)
{
    const auto &set = message.__isset;
    return set.configApplyRequest || set.configStateRequest || set.auditRequest || set.jobSubmitRequest || set.jobCancelRequest || set.jobQuery
        || set.statusRequest || set.targetsRequest;
}

asio::awaitable<Wire::Message> OperatorHandler::handle(const Wire::Message &request)
{
    if (request.__isset.configApplyRequest) {
        co_return co_await applyChange(request.configApplyRequest.change);
    }
    if (request.__isset.jobSubmitRequest) {
        co_return co_await submitJob(request.jobSubmitRequest.spec);
    }
    if (request.__isset.jobCancelRequest) {
        co_return co_await cancelJob(request.jobCancelRequest);
    }
    co_return Internal::limitReplySize(handleQuery(request));
}

asio::awaitable<Wire::Message> OperatorHandler::applyChange(Wire::ConfigChange change)
{
    Wire::ConfigApplyReply reply;
    if (const auto error = Internal::checkChange(change)) {
        reply.verdict = Wire::ChangeVerdict::Refused;
        reply.message = error->message;
    } else {
        reply = co_await m_functions.applyChange(std::move(change));
    }
    Wire::Message message;
    message.__set_configApplyReply(reply);
    co_return message;
}

asio::awaitable<Wire::Message> OperatorHandler::submitJob(Wire::JobSpec spec)
{
    if (const auto error = Internal::checkJob(spec)) {
        co_return errorMessage(*error);
    }
    if (const auto error = readinessError()) {
        co_return errorMessage(*error);
    }
    Wire::JobQuery query;
    query.jobId = spec.jobId;
    // A retry for a recorded job must not be refused because the contract has changed in the meantime.
    const bool isRecorded = !m_functions.queryJobs(query).jobs.empty();
    const auto error = isRecorded ? std::nullopt : contractError(spec);
    if (error) {
        co_return errorMessage(*error);
    }
    auto outcome = co_await m_functions.submitJob(std::move(spec));
    co_return Internal::submitMessage(outcome);
}

asio::awaitable<Wire::Message> OperatorHandler::cancelJob(Wire::JobCancelRequest request)
{
    if (const auto error = Internal::checkCancel(request)) {
        co_return errorMessage(*error);
    }
    if (const auto error = readinessError()) {
        co_return errorMessage(*error);
    }
    auto outcome = co_await m_functions.cancelJob(std::move(request));
    co_return Internal::submitMessage(outcome);
}

Wire::Message OperatorHandler::handleQuery(const Wire::Message &request) const
{
    Wire::Message reply;
    std::optional<Error> error;
    if (request.__isset.configStateRequest) {
        error = Internal::checkState(request.configStateRequest);
        if (!error) {
            reply.__set_configStateReply(m_functions.configState(request.configStateRequest));
        }
    } else if (request.__isset.jobQuery) {
        error = Internal::checkQuery(request.jobQuery);
        if (!error) {
            error = readinessError();
        }
        if (!error) {
            reply.__set_jobQueryReply(m_functions.queryJobs(request.jobQuery));
        }
    } else if (request.__isset.auditRequest) {
        return audit(request.auditRequest);
    } else if (request.__isset.statusRequest) {
        reply.__set_statusReply(m_functions.status());
    } else if (request.__isset.targetsRequest) {
        reply.__set_targetsReply(m_functions.targets(request.targetsRequest));
    } else {
        error = Error{ErrorCode::InvalidArgument, "the message is not for schedulers"};
    }
    return error ? errorMessage(*error) : reply;
}

Wire::Message OperatorHandler::audit(const Wire::AuditRequest &request) const
{
    if (const auto error = Internal::checkAudit(request)) {
        return errorMessage(*error);
    }
    if (const auto error = readinessError()) {
        return errorMessage(*error);
    }
    Wire::Message reply;
    reply.__set_auditReply(m_functions.audit(request));
    if (!Internal::fitsInFrame(reply)) {
        // The bodies are by far the largest part, and the other fields tell who changed what and when.
        for (Wire::AuditEntry &entry : reply.auditReply.entries) {
            entry.body.clear();
        }
    }
    return reply;
}

std::optional<Error> OperatorHandler::readinessError() const
{
    if (m_functions.status().ready) {
        return std::nullopt;
    }
    return Error{ErrorCode::Unavailable, "the scheduler has not read its state yet"};
}

std::optional<Error> OperatorHandler::contractError(const Wire::JobSpec &spec) const
{
    const auto contract = m_functions.contract(spec.customer);
    if (!contract) {
        return Error{ErrorCode::NotFound, "customer " + spec.customer + " has no contract"};
    }
    const TeamContract *team = contract->team(spec.team);
    if (team == nullptr) {
        return Error{ErrorCode::NotFound, "the contract of " + spec.customer + " has no team " + spec.team};
    }
    return Internal::teamError(spec, *team);
}

} // namespace Hyssop
