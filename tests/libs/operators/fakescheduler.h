#pragma once

#include <operators/operatorhandler.h>
#include <utils/endpoint.h>
#include <wire/rpcserver.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Hyssop::Test {

namespace asio = boost::asio;

/// State that the schedulers of a test share: accepted configuration, its audit trail and the jobs of each failure domain.
struct FakeStore
{
    std::map<std::string, Wire::ConfigEntry> entries;
    std::vector<Wire::AuditEntry> audit;
    std::map<std::string, std::vector<Wire::JobStatus>> jobs; // by failure domain
    std::vector<std::string> cancelled;

    Wire::ConfigApplyReply apply(const Wire::ConfigChange &change)
    {
        Wire::ConfigApplyReply reply;
        Wire::ConfigEntry &entry = entries[change.key];
        const bool repeated = !change.changeId.empty() && entry.changeId == change.changeId;
        if (!repeated) {
            record(change, entry);
        }
        reply.verdict = entry.changeId == change.changeId ? Wire::ChangeVerdict::Accepted : Wire::ChangeVerdict::Conflict;
        reply.revision = entry.revision;
        if (reply.verdict == Wire::ChangeVerdict::Conflict) {
            reply.message = "another change was accepted";
            reply.__set_current(entry);
        }
        return reply;
    }

    void addJob(const std::string &domain, const Wire::JobSpec &spec)
    {
        auto &list = jobs[domain];
        if (std::ranges::any_of(list, [&](const Wire::JobStatus &job) { return job.spec.jobId == spec.jobId; })) {
            return;
        }
        Wire::JobStatus job;
        job.spec = spec;
        job.state = "queued";
        list.push_back(job);
    }

private:
    void record(const Wire::ConfigChange &change, Wire::ConfigEntry &entry)
    {
        constexpr std::int64_t FirstTimeMs = 1796378400000; // 2026-12-04 10:00:00 UTC
        Wire::AuditEntry line;
        line.offset = static_cast<std::int64_t>(audit.size());
        line.timeMs = FirstTimeMs + line.offset * 1000;
        line.operatorName = change.operatorName;
        line.key = change.key;
        line.fromRevision = change.baseRevision;
        line.changeId = change.changeId;
        const bool accepted = entry.revision == change.baseRevision;
        line.verdict = accepted ? Wire::ChangeVerdict::Accepted : Wire::ChangeVerdict::Conflict;
        line.toRevision = accepted ? entry.revision + 1 : 0;
        line.reason = accepted ? "" : "current revision is " + std::to_string(entry.revision);
        audit.push_back(line);
        if (!accepted) {
            return;
        }
        entry.key = change.key;
        entry.revision += 1;
        entry.body = change.body;
        entry.changeId = change.changeId;
        entry.operatorName = change.operatorName;
        entry.acceptedAtMs = line.timeMs;
        entry.removed = change.removed;
    }
};

enum class Fault {
    LostReply, // takes effect; the reply comes after the timeout
    Unavailable, // fails with a reply that says that there was no effect
    UnknownVerdict, // takes effect; the reply says that the verdict is unknown
    Refused, // is refused without effect
    InternalError, // takes effect; the reply is an internal error
    ConflictWithItself, // takes effect; the reply reports a conflict with the same change
};

/// A scheduler on a loopback port. Each fault that was added applies to one request with an effect, in order.
class FakeScheduler
{
public:
    FakeScheduler(asio::io_context &context, FakeStore &store, std::string domain = "east-a")
        : m_store(store)
        , m_domain(std::move(domain))
        , m_handler(functions())
        , m_server(context.get_executor(), asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0), [this](const Wire::Message &request) {
            return m_handler.handle(request);
        })
    {
        m_server.start();
    }

    std::string address() const { return formatEndpoint(m_server.localEndpoint()); }
    void addFault(Fault fault) { m_faults.push_back(fault); }
    void setReady(bool ready) { m_ready = ready; }
    void stop() { m_server.stop(); }
    int effects() const { return m_effects; }

    OperatorFunctions functions()
    {
        OperatorFunctions result;
        result.applyChange = [this](Wire::ConfigChange change) { return applyChange(std::move(change)); };
        result.configState = [this](const Wire::ConfigStateRequest &request) { return configState(request); };
        result.audit = [this](const Wire::AuditRequest &request) { return audit(request); };
        result.contract = [this](const std::string &customer) { return contract(customer); };
        result.submitJob = [this](Wire::JobSpec spec) { return submitJob(std::move(spec)); };
        result.cancelJob = [this](Wire::JobCancelRequest request) { return cancelJob(std::move(request)); };
        result.queryJobs = [this](const Wire::JobQuery &query) { return queryJobs(query); };
        result.status = [this] { return status(); };
        result.targets = [](const Wire::TargetsRequest &) { return targets(); };
        return result;
    }

private:
    std::optional<Fault> takeFault()
    {
        ++m_effects;
        if (m_faults.empty()) {
            return std::nullopt;
        }
        const Fault fault = m_faults.front();
        m_faults.pop_front();
        return fault;
    }

    static asio::awaitable<void> delayReply()
    {
        constexpr std::chrono::seconds LongerThanAnyTimeout{2};
        asio::steady_timer timer(co_await asio::this_coro::executor, LongerThanAnyTimeout);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<Wire::ConfigApplyReply> applyChange(Wire::ConfigChange change)
    {
        const auto fault = takeFault();
        Wire::ConfigApplyReply reply;
        if (fault == Fault::Unavailable || fault == Fault::Refused) {
            reply.verdict = fault == Fault::Refused ? Wire::ChangeVerdict::Refused : Wire::ChangeVerdict::Unavailable;
            reply.message = fault == Fault::Refused ? "refused by the test" : "the log is unavailable";
            co_return reply;
        }
        reply = m_store.apply(change);
        if (fault == Fault::LostReply) {
            co_await delayReply();
        }
        if (fault == Fault::UnknownVerdict) {
            reply = Wire::ConfigApplyReply();
            reply.verdict = Wire::ChangeVerdict::Unknown;
            reply.message = "the append was not confirmed";
        }
        if (fault == Fault::ConflictWithItself) {
            reply.verdict = Wire::ChangeVerdict::Conflict;
            reply.__set_current(m_store.entries[change.key]);
        }
        co_return reply;
    }

    asio::awaitable<Outcome<Wire::JobSubmitReply>> submitJob(Wire::JobSpec spec)
    {
        const auto fault = takeFault();
        Wire::JobSubmitReply reply;
        reply.verdict = Wire::SubmitVerdict::NotRun;
        reply.message = "the log is unavailable";
        if (fault == Fault::Unavailable) {
            co_return reply;
        }
        if (fault == Fault::Refused) {
            co_return Error{ErrorCode::Refused, "refused by the test"};
        }
        m_store.addJob(m_domain, spec);
        if (fault == Fault::LostReply) {
            co_await delayReply();
        }
        if (fault == Fault::InternalError) {
            co_return Error{ErrorCode::Internal, "internal fault"};
        }
        reply.verdict = fault == Fault::UnknownVerdict ? Wire::SubmitVerdict::Undetermined : Wire::SubmitVerdict::Queued;
        reply.message.clear();
        co_return reply;
    }

    asio::awaitable<Outcome<Wire::JobSubmitReply>> cancelJob(Wire::JobCancelRequest request)
    {
        const auto fault = takeFault();
        const auto &jobs = m_store.jobs[m_domain];
        if (std::ranges::none_of(jobs, [&](const Wire::JobStatus &job) { return job.spec.jobId == request.jobId; })) {
            co_return Error{ErrorCode::NotFound, "there is no job " + request.jobId};
        }
        m_store.cancelled.push_back(request.jobId);
        Wire::JobSubmitReply reply;
        reply.verdict = fault == Fault::UnknownVerdict ? Wire::SubmitVerdict::Undetermined : Wire::SubmitVerdict::Queued;
        co_return reply;
    }

    Wire::ConfigStateReply configState(const Wire::ConfigStateRequest &request) const
    {
        Wire::ConfigStateReply reply;
        reply.ready = m_ready;
        reply.head = static_cast<std::int64_t>(m_store.audit.size()) - 1;
        reply.ageMs = 40;
        for (const auto &entry : m_store.entries) {
            if (m_ready && (request.key.empty() || entry.first == request.key)) {
                reply.entries.push_back(entry.second);
            }
        }
        return reply;
    }

    Wire::AuditReply audit(const Wire::AuditRequest &request) const
    {
        Wire::AuditReply reply;
        for (const Wire::AuditEntry &entry : m_store.audit) {
            if (entry.key.starts_with(request.keyPrefix)) {
                reply.entries.push_back(entry);
            }
        }
        return reply;
    }

    std::optional<Contract> contract(const std::string &customer) const
    {
        const auto entry = m_store.entries.find("contract/" + customer);
        if (entry == m_store.entries.end()) {
            return std::nullopt;
        }
        auto parsed = parseContract(entry->second.body);
        const auto *contract = std::get_if<Contract>(&parsed);
        return contract == nullptr ? std::nullopt : std::optional(*contract);
    }

    Wire::JobQueryReply queryJobs(const Wire::JobQuery &query) const
    {
        Wire::JobQueryReply reply;
        reply.term = 4;
        const auto jobs = m_store.jobs.find(m_domain);
        if (jobs == m_store.jobs.end()) {
            return reply;
        }
        for (const Wire::JobStatus &job : jobs->second) {
            const bool matches = (query.jobId.empty() || query.jobId == job.spec.jobId) && (query.customer.empty() || query.customer == job.spec.customer);
            if (matches) {
                reply.jobs.push_back(job);
            }
        }
        return reply;
    }

    Wire::StatusReply status() const
    {
        Wire::StatusReply reply;
        reply.instance = m_domain + "-1";
        reply.domain = m_domain;
        reply.incarnation = 1;
        reply.ready = m_ready;
        reply.owner = true;
        reply.term = 4;
        reply.configHead = static_cast<std::int64_t>(m_store.audit.size()) - 1;
        reply.configAgeMs = 40;
        reply.workers = 8;
        reply.logReachable = true;
        return reply;
    }

    static Wire::TargetsReply targets()
    {
        Wire::Target target;
        target.customer = "mtkvari";
        target.serviceName = "dispatch";
        target.worker = "worker-1";
        target.address = "127.0.0.1:9000";
        target.incarnation = "dispatch-1/1";
        Wire::TargetsReply reply;
        reply.version = 2;
        reply.changed = true;
        reply.targets = {target, target};
        reply.targets[1].worker = "worker-2";
        reply.targets[1].leaving = true;
        return reply;
    }

    FakeStore &m_store;
    std::string m_domain;
    OperatorHandler m_handler;
    RpcServer m_server;
    std::deque<Fault> m_faults;
    bool m_ready = true;
    int m_effects = 0;
};

/// Runs a coroutine until it ends. GCC 12 can't compile coroutine lambdas inside a Criterion test.
inline void runToEnd(asio::io_context &context, asio::awaitable<void> coroutine)
{
    bool finished = false;
    asio::co_spawn(context, std::move(coroutine), [&](const std::exception_ptr &failure) {
        finished = failure == nullptr;
        context.stop();
    });
    context.run_for(std::chrono::seconds(20));
    cr_assert(finished);
}

} // namespace Hyssop::Test
