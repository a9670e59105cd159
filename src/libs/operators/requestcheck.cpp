#include "requestcheck.h"

#include <contract/contract.h>

#include <algorithm>

namespace Hyssop::Internal {

constexpr std::size_t MaximumNameLength = 40;
constexpr std::size_t MaximumIdLength = 64;
constexpr std::size_t MaximumOperatorNameLength = 64;
constexpr std::size_t MaximumCommandLength = 1024;
constexpr std::size_t MaximumBodySize = 64 * 1024;
constexpr std::int32_t MaximumAuditEntries = 1000;
constexpr std::int32_t MaximumJobs = 1000;
constexpr std::int64_t MaximumMilliCores = 1'024'000;
constexpr std::int64_t MinimumMemory = 1'000'000;
constexpr std::int64_t MaximumMemory = 16'000'000'000'000;
constexpr std::int32_t MaximumAccelerators = 64;
constexpr std::int32_t MaximumSlots = 64;
constexpr std::int64_t MaximumRunTimeMs = 30LL * 24 * 3600 * 1000;
constexpr std::int32_t MaximumFailures = 20;
constexpr std::string_view ContractPrefix = "contract/";
constexpr std::string_view DomainPrefix = "domain/";

static bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

static bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaximumNameLength && std::ranges::all_of(text, [](char c) { return isLowerOrDigit(c) || c == '-'; });
}

static bool isId(std::string_view text)
{
    const auto allowed = [](char c) { return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= MaximumIdLength && std::ranges::all_of(text, allowed);
}

static bool isPrintable(std::string_view text, std::size_t maximumLength)
{
    return !text.empty() && text.size() <= maximumLength && std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
}

static bool isConfigKey(std::string_view key)
{
    for (const std::string_view prefix : {ContractPrefix, DomainPrefix}) {
        if (key.starts_with(prefix)) {
            return isName(key.substr(prefix.size()));
        }
    }
    return false;
}

static Error invalid(std::string message)
{
    return {ErrorCode::InvalidArgument, std::move(message)};
}

static std::optional<Error> checkId(const char *what, std::string_view id)
{
    if (isId(id)) {
        return std::nullopt;
    }
    return invalid(std::string(what) + " is not 1 to 64 of the characters a-z, A-Z, 0-9, -, _ and .");
}

static std::optional<Error> checkName(const char *what, std::string_view name)
{
    if (isName(name)) {
        return std::nullopt;
    }
    return invalid(std::string(what) + " is not 1 to 40 of the characters a-z, 0-9 and -");
}

static std::optional<Error> checkRange(const char *what, std::int64_t value, std::int64_t minimum, std::int64_t maximum)
{
    if (value >= minimum && value <= maximum) {
        return std::nullopt;
    }
    return invalid(std::string(what) + " " + std::to_string(value) + " is not from " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

static std::optional<Error> checkOperator(std::string_view name)
{
    if (isPrintable(name, MaximumOperatorNameLength)) {
        return std::nullopt;
    }
    return invalid("the operator name is not 1 to 64 printable ASCII characters");
}

static std::optional<Error> firstError(std::initializer_list<std::optional<Error>> checks)
{
    const auto found = std::ranges::find_if(checks, [](const auto &check) { return check.has_value(); });
    return found == checks.end() ? std::nullopt : *found;
}

static std::optional<Error> checkContractBody(const Wire::ConfigChange &change)
{
    auto parsed = parseContract(change.body);
    if (const auto *errors = std::get_if<std::vector<ContractError>>(&parsed)) {
        std::string message = "the contract has " + std::to_string(errors->size()) + (errors->size() == 1 ? " fault" : " faults");
        for (const ContractError &error : *errors) {
            message += "\n" + std::to_string(error.line) + ": " + error.message;
        }
        return invalid(message);
    }
    const std::string &customer = std::get<Contract>(parsed).customer;
    if (change.key.substr(ContractPrefix.size()) != customer) {
        return invalid("the contract is of customer " + customer + ", but the key is " + change.key);
    }
    return std::nullopt;
}

static std::optional<Error> checkBody(const Wire::ConfigChange &change)
{
    if (change.removed) {
        return change.body.empty() ? std::nullopt : std::optional(invalid("a removal must not have a body"));
    }
    if (change.key.starts_with(ContractPrefix)) {
        return checkContractBody(change);
    }
    if (change.body != "in" && change.body != "out") {
        return invalid("the state of a failure domain is neither \"in\" nor \"out\"");
    }
    return std::nullopt;
}

std::optional<Error> checkChange(const Wire::ConfigChange &change)
{
    if (change.body.size() > MaximumBodySize) {
        return Error{ErrorCode::TooLarge, "the body is larger than 64 KiB"};
    }
    if (!isConfigKey(change.key)) {
        return invalid("the key is neither contract/NAME nor domain/NAME");
    }
    if (change.baseRevision < 0) {
        return invalid("the base revision is negative");
    }
    return firstError({checkId("the change id", change.changeId), checkOperator(change.operatorName), checkBody(change)});
}

std::optional<Error> checkJob(const Wire::JobSpec &spec)
{
    if (spec.kind != Wire::TaskKind::Batch || !spec.serviceName.empty()) {
        return invalid("only batch jobs can be submitted; service tasks follow from the contract");
    }
    if (!isPrintable(spec.command, MaximumCommandLength)) {
        return invalid("the command is not 1 to 1024 printable ASCII characters");
    }
    return firstError({
        checkId("the job id", spec.jobId),
        checkName("the customer", spec.customer),
        checkName("the team", spec.team),
        checkName("the task name", spec.taskName),
        checkRange("millicores", spec.declared.milliCores, 1, MaximumMilliCores),
        checkRange("memory in bytes", spec.declared.memoryBytes, MinimumMemory, MaximumMemory),
        checkRange("accelerators", spec.declared.accelerators, 0, MaximumAccelerators),
        checkRange("slots", spec.declared.slots, 1, MaximumSlots),
        checkRange("run time in ms", spec.declaredRunTimeMs, 0, MaximumRunTimeMs),
        checkRange("maximum failures", spec.maximumFailures, 1, MaximumFailures),
    });
}

std::optional<Error> checkCancel(const Wire::JobCancelRequest &request)
{
    return firstError({checkId("the job id", request.jobId), checkOperator(request.operatorName)});
}

std::optional<Error> checkQuery(const Wire::JobQuery &query)
{
    return firstError({
        query.jobId.empty() ? std::nullopt : checkId("the job id", query.jobId),
        query.customer.empty() ? std::nullopt : checkName("the customer", query.customer),
        checkRange("the maximum", query.maximum, 1, MaximumJobs),
    });
}

std::optional<Error> checkAudit(const Wire::AuditRequest &request)
{
    constexpr std::size_t MaximumPrefixLength = DomainPrefix.size() + ContractPrefix.size() + MaximumNameLength;
    if (!request.keyPrefix.empty() && !isPrintable(request.keyPrefix, MaximumPrefixLength)) {
        return invalid("the key prefix is too long or not printable");
    }
    return checkRange("the maximum", request.maximum, 1, MaximumAuditEntries);
}

std::optional<Error> checkState(const Wire::ConfigStateRequest &request)
{
    if (request.key.empty() || isConfigKey(request.key)) {
        return std::nullopt;
    }
    return invalid("the key is neither contract/NAME nor domain/NAME");
}

} // namespace Hyssop::Internal
