#include "workerleasetable.h"

#include <algorithm>

namespace Hyssop {

namespace {

using std::chrono::milliseconds;

// The clocks of two machines differ by at most 1 % in rate.
constexpr int RateErrorDivisor = 100;
// SchedulerService reports a failed renewal earlier; this only covers a renewal whose result was never reported.
constexpr milliseconds AnswerTimeout{5000};
constexpr int MaximumMissedRenewals = 3; // renewal intervals without an answer
// A shorter lease would expire before its first renewal.
constexpr milliseconds MinimumRenewalDuration{1000};

} // namespace

WorkerLeaseTable::WorkerLeaseTable(WorkerLeaseOptions options)
    : m_options(options)
{
}

void WorkerLeaseTable::beginTerm(TimePoint now)
{
    m_termStartedAt = now;
    std::vector<std::string> names = workers();
    m_leases.clear();
    for (const std::string &worker : names) {
        add(worker, now);
    }
}

void WorkerLeaseTable::add(const std::string &worker, TimePoint now)
{
    if (m_leases.contains(worker)) {
        return;
    }
    Lease lease;
    // A previous owner that has lost contact only with the log may still renew the leases of workers that this owner
    // can't reach.
    lease.lostAt = m_termStartedAt + withMargin(m_options.previousOwnerGrace + m_options.duration);
    lease.nextRenewalAt = now;
    m_leases.emplace(worker, std::move(lease));
}

void WorkerLeaseTable::remove(const std::string &worker)
{
    m_leases.erase(worker);
}

std::vector<LeaseRenewal> WorkerLeaseTable::dueRenewals(TimePoint now)
{
    std::vector<LeaseRenewal> due;
    for (auto &[worker, lease] : m_leases) {
        const bool awaitsAnswer = lease.outstandingSince && now - *lease.outstandingSince < AnswerTimeout;
        if (awaitsAnswer || now < lease.nextRenewalAt) {
            continue;
        }
        const milliseconds duration = renewalDuration(lease, now);
        if (duration < MinimumRenewalDuration) {
            continue;
        }
        lease.outstandingSince = now;
        lease.outstandingDuration = duration;
        lease.nextRenewalAt = now + m_options.renewInterval;
        const auto notAfter = lease.clockKnown ? clockNoLaterThan(worker, now + m_options.margin) : std::nullopt;
        due.push_back({worker, duration, notAfter});
    }
    return due;
}

// A renewal whose answer is lost may still have reached the worker. Its duration is therefore limited by the loss time
// that follows from the last answered renewal, so that unanswered renewals never postpone the loss.
milliseconds WorkerLeaseTable::renewalDuration(const Lease &lease, TimePoint now) const
{
    if (lease.lost) {
        return m_options.duration;
    }
    const Duration rateError = Duration(m_options.duration) / RateErrorDivisor;
    const Duration left = lease.lostAt - m_options.margin - rateError - now;
    return std::min(m_options.duration, std::chrono::floor<milliseconds>(left));
}

bool WorkerLeaseTable::granted(const std::string &worker, const WorkerStatus &status, TimePoint sentAt, TimePoint now)
{
    const auto found = m_leases.find(worker);
    if (found == m_leases.end()) {
        return false;
    }
    Lease &lease = found->second;
    if (lease.grantSentAt && sentAt < *lease.grantSentAt) {
        return false;
    }
    const milliseconds duration = lease.outstandingSince == sentAt ? lease.outstandingDuration : m_options.duration;
    const TimePoint afterPromptAnswer = sentAt + withMargin(m_options.duration);
    // If the answer took longer than the margin, the time at which the worker received the request is not known.
    const TimePoint afterSlowAnswer = now + duration + Duration(duration) / RateErrorDivisor;
    lease.lostAt = std::max(afterPromptAnswer, afterSlowAnswer);
    lease.grantSentAt = sentAt;
    lease.answeredAt = now;
    lease.status = status;
    lease.outstandingSince.reset();
    lease.lost = false;
    lease.holds = true;
    lease.clockKnown = true;
    return true;
}

void WorkerLeaseTable::refused(const std::string &worker, TimePoint now)
{
    const auto found = m_leases.find(worker);
    if (found == m_leases.end()) {
        return;
    }
    found->second.outstandingSince.reset();
    found->second.nextRenewalAt = now + m_options.renewInterval;
    found->second.holds = false;
    // The worker may have restarted with a new clock, in which every deadline would be in the past.
    found->second.clockKnown = false;
}

void WorkerLeaseTable::failed(const std::string &worker, TimePoint now)
{
    const auto found = m_leases.find(worker);
    if (found == m_leases.end()) {
        return;
    }
    found->second.outstandingSince.reset();
    found->second.nextRenewalAt = now + m_options.renewInterval;
}

std::vector<std::string> WorkerLeaseTable::takeLostWorkers(TimePoint now)
{
    std::vector<std::string> lost;
    for (auto &[worker, lease] : m_leases) {
        if (lease.lost || now < lease.lostAt) {
            continue;
        }
        lease.lost = true;
        lease.holds = false;
        lost.push_back(worker);
    }
    return lost;
}

bool WorkerLeaseTable::held(const std::string &worker, TimePoint now) const
{
    const Lease *lease = find(worker);
    if (!lease || !lease->holds || lease->lost) {
        return false;
    }
    return now < *lease->grantSentAt + m_options.duration - Duration(m_options.duration) / RateErrorDivisor;
}

bool WorkerLeaseTable::responsive(const std::string &worker, TimePoint now) const
{
    return held(worker, now) && now - find(worker)->answeredAt <= m_options.renewInterval * MaximumMissedRenewals;
}

bool WorkerLeaseTable::hasAnswered(const std::string &worker) const
{
    const Lease *lease = find(worker);
    return lease && lease->grantSentAt.has_value();
}

bool WorkerLeaseTable::lost(const std::string &worker) const
{
    const Lease *lease = find(worker);
    return lease && lease->lost;
}

const WorkerStatus *WorkerLeaseTable::status(const std::string &worker) const
{
    const Lease *lease = find(worker);
    return lease && lease->grantSentAt ? &lease->status : nullptr;
}

std::vector<std::string> WorkerLeaseTable::workers() const
{
    std::vector<std::string> names;
    names.reserve(m_leases.size());
    for (const auto &[worker, lease] : m_leases) {
        names.push_back(worker);
    }
    return names;
}

std::size_t WorkerLeaseTable::heldCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_leases.begin(), m_leases.end(), [&](const auto &entry) { return held(entry.first, now); }));
}

std::optional<milliseconds> WorkerLeaseTable::clockNoLaterThan(const std::string &worker, TimePoint bound) const
{
    const Lease *lease = find(worker);
    if (!lease || !lease->grantSentAt) {
        return std::nullopt;
    }
    // The worker read its clock at some time before the answer arrived. Assuming the time of arrival gives the earliest
    // result.
    const Duration untilBound = bound - lease->answeredAt;
    const Duration rateError = (untilBound < Duration::zero() ? -untilBound : untilBound) / RateErrorDivisor;
    return lease->status.clock + std::chrono::floor<milliseconds>(untilBound - rateError);
}

Duration WorkerLeaseTable::withMargin(Duration interval) const
{
    return interval + m_options.margin + interval / RateErrorDivisor;
}

const WorkerLeaseTable::Lease *WorkerLeaseTable::find(const std::string &worker) const
{
    const auto found = m_leases.find(worker);
    return found == m_leases.end() ? nullptr : &found->second;
}

} // namespace Hyssop
