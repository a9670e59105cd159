#include "jobcommands.h"

#include "output.h"

#include <utils/quantity.h>

#include <boost/json/array.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <ostream>

namespace Hyssop {

namespace asio = boost::asio;
namespace json = boost::json;
namespace po = boost::program_options;

namespace Internal {

static void addSubmitOptions(po::options_description &options)
{
    auto add = options.add_options();
    add("customer", po::value<std::string>()->required()->value_name("NAME"), "customer whose contract applies");
    add("team", po::value<std::string>()->required()->value_name("NAME"), "team whose quota applies");
    add("task", po::value<std::string>()->required()->value_name("NAME"), "kind of task, for example badge-print");
    add("cores", po::value<std::string>()->required()->value_name("N"), "cores, for example 2.5");
    add("memory", po::value<std::string>()->required()->value_name("SIZE"), "memory, for example \"4 GB\"");
    add("accelerators", po::value<int>()->default_value(0)->value_name("N"), "accelerators");
    add("slots", po::value<int>()->default_value(1)->value_name("N"), "task slots");
    add("run-time", po::value<std::string>()->default_value("0 s")->value_name("TIME"), "expected run time, for example \"20 min\"; 0 s: unknown");
    add("maximum-failures", po::value<int>()->default_value(3)->value_name("N"), "failures on distinct workers before the job ends");
    add("urgent", po::bool_switch(), "start within seconds; the contract has to allow it");
    add("no-checkpoint", po::bool_switch(), "the task can't write checkpoints");
    add("job-id", po::value<std::string>()->value_name("ID"), "id of an earlier attempt, to repeat it; needs --domain");
}

static Result<Wire::JobSpec> jobSpec(const CommandContext &context)
{
    BOOST_LEAF_AUTO(cores, parseMilliCores(context.text("cores")));
    BOOST_LEAF_AUTO(memory, parseBytes(context.text("memory")));
    BOOST_LEAF_AUTO(runTime, parseDuration(context.text("run-time")));
    Wire::JobSpec spec;
    spec.jobId = context.isSet("job-id") ? context.text("job-id") : context.environment.generateId();
    spec.customer = context.text("customer");
    spec.team = context.text("team");
    spec.taskName = context.text("task");
    spec.declared.milliCores = cores;
    spec.declared.memoryBytes = memory;
    spec.declared.accelerators = context.options["accelerators"].as<int>();
    spec.declared.slots = context.options["slots"].as<int>();
    spec.declaredRunTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(runTime).count();
    spec.maximumFailures = context.options["maximum-failures"].as<int>();
    spec.urgent = context.options["urgent"].as<bool>();
    spec.acceptsCheckpoint = !context.options["no-checkpoint"].as<bool>();
    spec.command = context.text("COMMAND");
    return spec;
}

/// Prints the verdict on a job operation. @p successText says what the operation has achieved if it was accepted.
static ExitCode reportVerdict(const CommandContext &context, const std::string &jobId, Outcome<Wire::JobSubmitReply> &outcome, const std::string &successText)
{
    if (const Error *error = errorOf(outcome)) {
        return reportError(context, *error);
    }
    const Wire::JobSubmitReply &reply = *valueOf(outcome);
    const std::string &domain = context.client.domain();
    json::object result{{"verdict", "accepted"}, {"jobId", jobId}, {"domain", domain}, {"message", reply.message}};
    if (reply.verdict == Wire::SubmitVerdict::Queued) {
        print(context, "job " + jobId + ": " + successText + " in failure domain " + domain, result);
        return ExitCode::Success;
    }
    if (reply.verdict == Wire::SubmitVerdict::NotRun) {
        result["verdict"] = "not-done";
        print(context, "job " + jobId + ": certainly not done: " + reply.message, result);
        return ExitCode::Unavailable;
    }
    result["verdict"] = "unknown";
    const std::string jobIdOption = successText == "queued" ? " --job-id " + jobId : "";
    print(context, "job " + jobId + ": may have been done: " + reply.message + "\nrepeat with --domain " + domain + jobIdOption, result);
    return ExitCode::Unknown;
}

static asio::awaitable<ExitCode> submitJob(CommandContext &context)
{
    if (context.isSet("job-id") && context.text("domain").empty()) {
        // Job ids are known in one failure domain only; another one would run the job again.
        context.environment.err << "hyssopctl: --job-id needs the --domain of the earlier attempt\n";
        co_return ExitCode::Usage;
    }
    auto spec = capture([&] { return jobSpec(context); });
    if (const Error *error = errorOf(spec)) {
        context.environment.err << "hyssopctl: " << error->message << '\n';
        co_return ExitCode::Usage;
    }
    auto outcome = co_await context.client.submit(*valueOf(spec));
    if (context.isSet("job-id") && valueOf(outcome) != nullptr && valueOf(outcome)->verdict == Wire::SubmitVerdict::NotRun) {
        // Only this attempt is known to have had no effect; the earlier one with the same id may have taken effect.
        valueOf(outcome)->verdict = Wire::SubmitVerdict::Undetermined;
    }
    co_return reportVerdict(context, valueOf(spec)->jobId, outcome, "queued");
}

static asio::awaitable<ExitCode> cancelJob(CommandContext &context)
{
    Wire::JobCancelRequest request;
    request.jobId = context.text("JOB");
    request.operatorName = context.operatorName;
    auto outcome = co_await context.client.cancel(request);
    co_return reportVerdict(context, request.jobId, outcome, "cancellation recorded");
}

static json::object jobJson(const Wire::JobStatus &job)
{
    return {
        {"jobId", job.spec.jobId},
        {"customer", job.spec.customer},
        {"team", job.spec.team},
        {"task", job.spec.taskName},
        {"state", job.state},
        {"attempt", job.attempt},
        {"worker", job.worker},
        {"checkpoint", job.checkpoint},
        {"reason", job.reason},
        {"urgent", job.spec.urgent},
        {"milliCores", job.spec.declared.milliCores},
        {"memoryBytes", job.spec.declared.memoryBytes},
        {"accelerators", job.spec.declared.accelerators},
        {"slots", job.spec.declared.slots},
        {"command", job.spec.command},
    };
}

static std::string valueText(const json::value &value)
{
    if (value.is_string()) {
        return std::string(value.get_string().c_str());
    }
    if (value.is_bool()) {
        return value.get_bool() ? "yes" : "no";
    }
    return std::to_string(value.to_number<std::int64_t>());
}

static asio::awaitable<ExitCode> showJob(CommandContext &context)
{
    Wire::JobQuery query;
    query.jobId = context.text("JOB");
    auto reply = co_await context.client.jobs(query);
    if (const Error *error = errorOf(reply)) {
        co_return reportError(context, *error);
    }
    if (valueOf(reply)->jobs.empty()) {
        co_return reportError(context, {ErrorCode::NotFound, "failure domain " + context.client.domain() + " has no job " + query.jobId});
    }
    const json::object job = jobJson(valueOf(reply)->jobs.front());
    Table table{{"FIELD", "VALUE"}, {}};
    for (const auto &field : job) {
        table.rows.push_back({std::string(field.key()), valueText(field.value())});
    }
    print(context, table, job);
    co_return ExitCode::Success;
}

static void addListOptions(po::options_description &options)
{
    constexpr int DefaultMaximum = 200;
    options.add_options()("customer", po::value<std::string>()->default_value("")->value_name("NAME"), "only jobs of this customer");
    options.add_options()("maximum", po::value<int>()->default_value(DefaultMaximum)->value_name("N"), "number of jobs, 1 to 1000");
}

static asio::awaitable<ExitCode> listJobs(CommandContext &context)
{
    Wire::JobQuery query;
    query.customer = context.text("customer");
    query.maximum = context.options["maximum"].as<int>();
    auto reply = co_await context.client.jobs(query);
    if (const Error *error = errorOf(reply)) {
        co_return reportError(context, *error);
    }
    Table table{{"JOB", "CUSTOMER", "TEAM", "TASK", "STATE", "ATTEMPT", "WORKER", "REASON"}, {}};
    json::array list;
    for (const Wire::JobStatus &job : valueOf(reply)->jobs) {
        const Wire::JobSpec &spec = job.spec;
        table.rows.push_back({spec.jobId, spec.customer, spec.team, spec.taskName, job.state, std::to_string(job.attempt), job.worker, job.reason});
        list.emplace_back(jobJson(job));
    }
    print(context, table, list);
    co_return ExitCode::Success;
}

} // namespace Internal

std::vector<Command> jobCommands()
{
    return {
        {"job submit", {"COMMAND"}, "Submits a batch job.", Internal::addSubmitOptions, Internal::submitJob},
        {"job status", {"JOB"}, "Shows one job.", nullptr, Internal::showJob},
        {"job cancel", {"JOB"}, "Cancels a job. May be repeated.", nullptr, Internal::cancelJob},
        {"job list", {}, "Lists the jobs of a failure domain.", Internal::addListOptions, Internal::listJobs},
    };
}

} // namespace Hyssop
