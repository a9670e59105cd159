#include "topicowner.h"

#include "backgroundqueue.h"
#include "detachedtask.h"
#include "ownerlog.h"
#include "topicfollower.h"

#include <dispatch/claimtimes.h>
#include <dispatch/servingroom.h>
#include <jobtopic/jobtable.h>
#include <observability/logging.h>
#include <observability/metricsregistry.h>
#include <ports/adviceservice.h>
#include <ports/machinedirectory.h>
#include <ports/metadatastore.h>
#include <ports/workerapi.h>
#include <utils/overloaded.h>
#include <wire/codec.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/execution.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>
#include <random>

namespace Hyssop {

namespace asio = boost::asio;

namespace Internal {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds TickInterval{20};
// While background work waits, ticks are for urgent work only, and each takes time from the rest.
constexpr std::chrono::milliseconds BacklogTickDelay{20};
// The rest is decided when no background work is left, or after this time: each of these ticks examines all jobs and workers.
constexpr std::chrono::milliseconds MaximumFullTickInterval{200};
constexpr std::chrono::milliseconds StandbyInterval{200};
constexpr std::chrono::milliseconds ClaimRenewalInterval{500};
constexpr std::chrono::milliseconds TakeoverCheckInterval{5};
constexpr std::chrono::milliseconds LoadRetryDelay{100};
constexpr std::chrono::milliseconds LoadReportInterval{2000};
constexpr std::chrono::milliseconds ClaimTimeout{1500};
constexpr std::chrono::milliseconds ReleaseTimeout{1000};
constexpr std::chrono::milliseconds MaximumReadLag{4000};
constexpr std::chrono::milliseconds ClaimVisibilityTimeout{1000};
constexpr int MaximumClaimJitterMs = 120;
constexpr int MaximumOfferDelayMs = 500;

static std::int64_t randomNumber(std::int64_t maximum)
{
    std::random_device device;
    std::mt19937_64 generator(device());
    return std::uniform_int_distribution<std::int64_t>(1, maximum)(generator);
}

static long long milliCores(double processorShare)
{
    return std::llround(processorShare * 1000);
}

} // namespace Internal

TopicOwner::TopicOwner(asio::any_io_executor executor,
                       const Clock &clock,
                       OwnerPorts ports,
                       JobTable &table,
                       const TopicFollower &jobs,
                       MetricsRegistry &metrics,
                       const DispatchLimits &limits,
                       const OwnerIdentity &identity)
    : m_executor(std::move(executor))
    , m_background(asio::use_service<BackgroundQueue>(asio::query(m_executor, asio::execution::context)))
    , m_backgroundExecutor(m_background.executor())
    , m_clock(clock)
    , m_ports(ports)
    , m_table(table)
    , m_jobs(jobs)
    , m_metrics(metrics)
    , m_instance(identity.instance)
    , m_processorShare(identity.processorShare)
    , m_incarnation(Internal::randomNumber(std::numeric_limits<std::int64_t>::max()))
    , m_claimPolicy(std::chrono::milliseconds(Internal::randomNumber(Internal::MaximumClaimJitterMs)), identity.processorShare)
    , m_offerPolicy(identity.instance, identity.processorShare, std::chrono::milliseconds(Internal::randomNumber(Internal::MaximumOfferDelayMs)))
    , m_appender(m_executor, clock, ports.store, metrics, Topic::Jobs)
    , m_runsAppender(m_executor, clock, ports.store, metrics, Topic::Runs)
    , m_dispatcher(limits)
{
}

void TopicOwner::jobRecordApplied(const JobKey &key)
{
    if (key.kind == JobKeyKind::Progress || key.kind == JobKeyKind::Claim) {
        m_ownerSilence.handleRecord(m_clock.now());
    } else if (key.kind == JobKeyKind::TakeoverOffer) {
        takeoverOfferRead();
    } else if (key.kind == JobKeyKind::SilentWorkers) {
        silentWorkersRead();
    } else if (m_term && !key.jobId.empty()) {
        const TopicJob *entry = m_table.find(key.jobId);
        m_dispatcher.jobChanged(key.jobId, entry, m_clock.now(), std::chrono::system_clock::now());
    }
}

void TopicOwner::jobsRead(TimePoint sentAt)
{
    const TimePoint now = m_clock.now();
    m_ownerSilence.handleRead(now);
    if (m_table.claim()) {
        m_largestOwnerShare = std::max(m_largestOwnerShare, m_table.claim()->processorShare);
    }
    if (m_term) {
        if (ownsNewestClaim() && m_table.claim()->term == *m_term) {
            m_dispatcher.confirmRead(sentAt);
        } else {
            stepDown("a newer claim exists");
        }
        return;
    }
    if (m_releasing) {
        return;
    }
    if (ownsNewestClaim()) {
        m_claimReadAt = sentAt;
        beginTakeover();
        return;
    }
    endTakeover();
    updateStandby(now);
}

void TopicOwner::updateStandby(TimePoint now)
{
    const StandbyAction action = m_offerPolicy.handleRead(m_table.claim(), m_table.takeoverOffer(), now);
    if (action == StandbyAction::OfferTakeover) {
        asio::co_spawn(m_executor, offerTakeover(), endProcessOnException);
    }
    if (!m_claiming && (action == StandbyAction::Claim || m_claimPolicy.shouldClaim(observeOwner(), now))) {
        beginClaim(now);
    }
}

void TopicOwner::beginClaim(TimePoint now)
{
    m_claiming = true;
    m_cleanHandover = m_table.claim() && m_table.claim()->released && m_table.claim()->settled;
    m_claimSentAt = now;
    updateWorkersNeed();
    asio::co_spawn(m_executor, claim(), endProcessOnException);
}

asio::awaitable<void> TopicOwner::offerTakeover()
{
    const Wire::TopicClaim owner = *m_table.claim();
    Wire::TakeoverOffer offer;
    offer.instance = m_instance;
    offer.term = owner.term;
    offer.processorShare = m_processorShare;
    TopicAppend append{Topic::Jobs, {{0, takeoverOfferKey(), encode(offer)}}, std::nullopt, std::nullopt};
    const TopicAppendResult result = co_await m_ports.store.append(std::move(append), Internal::ClaimTimeout);
    m_metrics.add("hyssop_takeover_offers_total");
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "owner",
               "takeover offered",
               {{"epoch", static_cast<long long>(offer.term)},
                {"owner", owner.instance},
                {"owner_millicores", Internal::milliCores(owner.processorShare)},
                {"millicores", Internal::milliCores(m_processorShare)},
                {"appended", std::holds_alternative<TopicAppended>(result)}});
}

void TopicOwner::takeoverOfferRead()
{
    const auto &offer = m_table.takeoverOffer();
    const std::optional<std::int64_t> term = termOrTakeover();
    if (term && offer && m_capacity.isExceeded() && canRelieve(*offer, *term, m_processorShare)) {
        m_successor = offer->instance;
    }
}

void TopicOwner::workersRead(TimePoint sentAt)
{
    m_workersReadAt = sentAt;
    if (m_term) {
        m_dispatcher.confirmWorkersRead(sentAt);
    }
}

bool TopicOwner::isClaiming() const
{
    return m_claimSentAt != TimePoint() && m_clock.now() - m_claimSentAt < Internal::ClaimVisibilityTimeout;
}

void TopicOwner::applyConfiguration(const ClusterConfig &config, const std::set<std::string> &evacuatedDomains)
{
    m_config = config;
    m_evacuatedDomains = evacuatedDomains;
    m_dispatcher.applyConfiguration(config, evacuatedDomains);
}

void TopicOwner::updateWorker(const WorkerInfo &info)
{
    m_workers[info.id] = info;
    if (m_term) {
        m_dispatcher.updateWorker(info);
    }
}

void TopicOwner::removeWorker(const std::string &id)
{
    m_workers.erase(id);
    if (m_term) {
        m_dispatcher.removeWorker(id);
    }
}

asio::awaitable<void> TopicOwner::run()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        const std::chrono::milliseconds interval = m_term ? Internal::TickInterval : Internal::StandbyInterval;
        TimePoint dueAt = m_clock.now() + interval;
        timer.expires_after(interval);
        co_await timer.async_wait(Internal::AsTuple);
        if (m_term && m_background.size() > 0) {
            dueAt += Internal::BacklogTickDelay;
            timer.expires_after(Internal::BacklogTickDelay);
            co_await timer.async_wait(Internal::AsTuple);
        }
        updateWorkersNeed();
        writeResults();
        if (m_takeoverTerm) {
            renewClaim(m_clock.now());
        }
        if (!m_successor.empty() && !m_releasing) {
            co_await handOver();
            continue;
        }
        if (!m_term || m_releasing) {
            continue;
        }
        const TimePoint now = m_clock.now();
        const bool isTurnComplete = completeBackgroundTurn(now);
        if (isTurnComplete) {
            updateCapacity(now);
        }
        const bool isBackgroundIdle = m_background.size() == (isTurnComplete ? 1 : 0); // the turn that has just begun is a handler, too
        const bool isFull = isBackgroundIdle || now - m_lastFullTick >= Internal::MaximumFullTickInterval;
        m_lastFullTick = isFull ? now : m_lastFullTick;
        m_delays.ticks.add(now - dueAt);
        m_metrics.observe("hyssop_owner_tick_delay_seconds", now - dueAt);
        execute(m_dispatcher.advance(now, std::chrono::system_clock::now(), isFull ? TickScope::All : TickScope::Urgent, isTurnComplete));
        m_delays.tickTimes.add(m_clock.now() - now);
        reportLoad(now);
        countWithheldTime(now);
        if (m_term && isReadLagging(now) && !isAppending()) {
            co_await releaseOwnership("reading lags behind the growth of the job topic");
            continue;
        }
        if (m_term && m_dispatcher.areTokensExhausted() && !isAppending()) {
            co_await releaseOwnership("the fencing tokens of the term are used up");
            continue;
        }
        if (m_term) {
            renewClaim(now);
        }
    }
}

bool TopicOwner::completeBackgroundTurn(TimePoint now)
{
    if (m_isBackgroundTurnOpen) {
        return false;
    }
    m_isBackgroundTurnOpen = true;
    asio::post(m_backgroundExecutor, [this, now] {
        m_isBackgroundTurnOpen = false;
        m_delays.backgroundTurns.add(m_clock.now() - now);
    });
    return true;
}

bool TopicOwner::isReadLagging(TimePoint now) const
{
    // A read without a response during a silence of the store ends later than the silence.
    const Duration lag = std::min<Duration>(m_dispatcher.readLag(now), now - m_appender.respondingSince());
    return lag > Internal::MaximumReadLag && now - m_appender.lastAppend() < Internal::ClaimRenewalInterval;
}

void TopicOwner::updateCapacity(TimePoint now)
{
    const bool wasExceeded = m_capacity.isExceeded();
    m_capacity.handleTick(now);
    if (m_capacity.isExceeded() != wasExceeded) {
        m_metrics.set("hyssop_owner_overloaded", m_capacity.isExceeded() ? 1 : 0);
        logMessage(LogPriority::Essential,
                   LogLevel::Info,
                   "owner",
                   m_capacity.isExceeded() ? "owner overloaded" : "owner no longer overloaded",
                   {{"epoch", static_cast<long long>(term())}, {"millicores", Internal::milliCores(m_processorShare)}});
    }
}

asio::awaitable<void> TopicOwner::handOver()
{
    const std::string successor = std::exchange(m_successor, {});
    const bool areAppendsDone = co_await finishAppends();
    if (termOrTakeover() && areAppendsDone) {
        co_await releaseOwnership("a larger instance takes over", successor);
    }
}

asio::awaitable<bool> TopicOwner::finishAppends()
{
    const TimePoint deadline = m_clock.now() + Internal::ReleaseTimeout;
    asio::steady_timer timer(m_executor);
    while (isAppending() && m_clock.now() < deadline) {
        timer.expires_after(Internal::TickInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
    co_return !m_appender.isAppending();
}

asio::awaitable<void> TopicOwner::releaseOwnership(std::string reason, std::string successor)
{
    m_claimPolicy.recordOverload(m_clock.now());
    const std::int64_t term = *termOrTakeover();
    TopicAppend append{Topic::Jobs, {claimRecord(term, true, successor)}, std::nullopt, m_appender.position()};
    endTakeover();
    stepDown(reason);
    const TopicAppendResult result = co_await m_ports.store.append(std::move(append), Internal::ReleaseTimeout);
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "owner",
               "ownership released",
               {{"durable", std::holds_alternative<TopicAppended>(result)}, {"successor", successor}});
}

asio::awaitable<void> TopicOwner::release()
{
    m_releasing = true;
    if (!termOrTakeover()) {
        co_return;
    }
    const bool areAppendsDone = co_await finishAppends();
    if (!termOrTakeover() || !areAppendsDone) {
        endTakeover();
        stepDown("shutdown while the store is not responding");
        co_return;
    }
    co_await releaseOwnership("released");
}

void TopicOwner::finishLog()
{
    m_log.writeAll(m_clock.now());
}

void TopicOwner::silentWorkersRead()
{
    if (m_table.silentWorkersOffset() != m_silentWorkersOffset) {
        m_silentWorkersOffset = m_table.silentWorkersOffset();
        m_silentWorkersReadAt = m_clock.now();
    }
}

bool TopicOwner::ownsNewestClaim() const
{
    const auto &claim = m_table.claim();
    return claim && claim->instance == m_instance && claim->incarnation == m_incarnation && !claim->released && claim->term >= m_minimumTerm;
}

OwnerObservation TopicOwner::observeOwner() const
{
    OwnerObservation owner;
    owner.silence = m_ownerSilence.duration();
    if (const auto &claim = m_table.claim()) {
        owner.hasClaim = true;
        owner.released = claim->released && claim->successor.empty();
        owner.releasedToThis = claim->released && claim->successor == m_instance;
        owner.ownerShare = m_largestOwnerShare;
    }
    return owner;
}

void TopicOwner::beginTakeover()
{
    if (m_takeoverTerm) {
        return;
    }
    m_takeoverTerm = m_table.claim()->term;
    m_takeoverBeganAt = m_clock.now();
    m_claimSentAt = TimePoint(); // the claim has appeared
    // The pages of a load are not a snapshot: the one with the claim may be newer than the one with the silent workers.
    const bool isReadInOrder = m_jobs.end() > m_table.claimOffset();
    m_newestSilentWorkersReadAt = isReadInOrder ? std::optional(m_silentWorkersReadAt) : std::nullopt;
    m_capacity.beginTerm(m_takeoverBeganAt, isMuchSmallerThanOwners());
    m_isOverloadPublished = m_capacity.isExceeded();
    m_successor.clear();
    m_appender.beginTerm(*m_takeoverTerm, m_table.claim()->sequence + 1);
    m_runsAppender.beginTerm(*m_takeoverTerm, 0);
    takeoverOfferRead(); // an offer may have been read together with the claim
    updateWorkersNeed();
    asio::co_spawn(m_executor, takeOver(*m_takeoverTerm), endProcessOnException);
}

void TopicOwner::endTakeover()
{
    if (m_takeoverTerm) {
        logMessage(LogPriority::Essential, LogLevel::Info, "owner", "takeover ended", {{"epoch", static_cast<long long>(*m_takeoverTerm)}});
        m_minimumTerm = *m_takeoverTerm + 1;
        m_takeoverTerm.reset();
        m_appender.endTerm();
        m_runsAppender.endTerm();
        m_table.clearRuns();
        updateWorkersNeed();
    }
}

asio::awaitable<void> TopicOwner::takeOver(std::int64_t term)
{
    const bool isReady = co_await fenceRuns(term) && co_await loadRuns(term);
    if (isReady) {
        becomeOwner();
    }
}

asio::awaitable<bool> TopicOwner::fenceRuns(std::int64_t term)
{
    bool isDone = false;
    bool isFenced = false;
    m_runsAppender.append({claimRecord(term, false)}, [&](const TopicAppendResult &result, TimePoint) {
        isDone = true;
        isFenced = std::holds_alternative<TopicAppended>(result);
    });
    asio::steady_timer timer(m_executor);
    while (!isDone && m_takeoverTerm == term) {
        timer.expires_after(Internal::TakeoverCheckInterval);
        co_await timer.async_wait(Internal::AsTuple);
    }
    if (m_takeoverTerm == term && !isFenced) {
        endTakeover(); // a later claim exists, or this incarnation has fenced the topic before
    }
    co_return m_takeoverTerm == term;
}

asio::awaitable<bool> TopicOwner::loadRuns(std::int64_t term)
{
    asio::steady_timer timer(m_executor);
    std::string after;
    std::size_t keys = 0;
    while (m_takeoverTerm == term) {
        const NewestRecordsResult result = co_await m_ports.store.readNewest(Topic::Runs, after);
        if (m_takeoverTerm != term) {
            break;
        }
        const auto *page = std::get_if<NewestRecordsPage>(&result);
        if (page == nullptr) {
            timer.expires_after(Internal::LoadRetryDelay);
            co_await timer.async_wait(Internal::AsTuple);
            continue;
        }
        for (const KeyedRecord &record : page->records) {
            m_table.applyRuns(record);
            after = record.key;
        }
        keys += page->records.size();
        if (!page->more || page->records.empty()) {
            logMessage(LogPriority::Essential, LogLevel::Info, "owner", "runs loaded", {{"epoch", static_cast<long long>(term)}, {"keys", keys}});
            co_return true;
        }
    }
    co_return false;
}

void TopicOwner::becomeOwner()
{
    m_term = std::exchange(m_takeoverTerm, std::nullopt);
    m_batchAppends = 0;
    m_capacity.beginTerm(m_clock.now(), m_capacity.isExceeded());
    m_delays.beginInterval(m_clock.now());
    m_servingRoomSchedule = {};
    m_dispatcher.beginTerm(*m_term, m_table, {m_takeoverBeganAt, m_claimReadAt, m_newestSilentWorkersReadAt}, m_cleanHandover);
    m_table.clearRuns();
    m_lastTick = m_clock.now();
    m_dispatcher.applyConfiguration(m_config, m_evacuatedDomains);
    if (m_workersReadAt) {
        m_dispatcher.confirmWorkersRead(*m_workersReadAt);
    }
    for (const auto &[id, info] : m_workers) {
        m_dispatcher.updateWorker(info);
    }
    updateWorkersNeed();
    m_metrics.add("hyssop_ownerships_total");
    m_metrics.set("hyssop_is_owner", 1);
    m_metrics.set("hyssop_owner_overloaded", m_capacity.isExceeded() ? 1 : 0);
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "owner",
               "ownership acquired",
               {{"epoch", static_cast<long long>(*m_term)},
                {"jobs", m_table.jobs().size()},
                {"open_runs", m_dispatcher.openRuns()},
                {"workers", m_workers.size()},
                {"silent_workers", m_dispatcher.recordedSilentWorkers()}});
}

void TopicOwner::stepDown(const std::string &reason, const StepDown &rejection)
{
    if (m_term) {
        m_log.writeRemaining(m_clock.now());
        logStepDown(*m_term, reason, rejection);
        m_metrics.add("hyssop_step_downs_total", {{"reason", reason.substr(0, reason.find(':'))}});
        m_minimumTerm = *m_term + 1;
    }
    m_term.reset();
    m_successor.clear();
    m_appender.endTerm();
    m_runsAppender.endTerm();
    m_metrics.set("hyssop_is_owner", 0);
    m_metrics.set("hyssop_owner_overloaded", 0);
    m_ownerSilence.handleRecord(m_clock.now());
    updateWorkersNeed();
}

void TopicOwner::updateWorkersNeed()
{
    const bool isNeeded = m_term || m_takeoverTerm || m_claiming || isClaiming();
    if (isNeeded != m_needsWorkers) {
        m_needsWorkers = isNeeded;
        m_workersReadAt.reset();
        m_workersNeedHandler(isNeeded);
    }
}

asio::awaitable<void> TopicOwner::claim()
{
    Wire::TopicClaim claim;
    claim.instance = m_instance;
    claim.incarnation = m_incarnation;
    claim.term = (m_table.claim() ? m_table.claim()->term : 0) + 1;
    claim.sequence = 0;
    claim.processorShare = m_processorShare;
    claim.overloaded = isMuchSmallerThanOwners();
    // The store accepts a single first append per epoch, so only one claim of a term succeeds. The claim does not also require
    // the current end of the topic: any submission through another instance would then make it fail.
    const std::int64_t readUpTo = m_jobs.end();
    TopicAppend append{Topic::Jobs, {{0, claimKey(), encode(claim)}}, std::nullopt, ProducerPosition{OwnerAppender::ProducerName, claim.term, claim.sequence}};
    const TimePoint sentAt = m_clock.now();
    const OwnerObservation owner = observeOwner();
    const TopicAppendResult result = co_await m_ports.store.append(std::move(append), Internal::ClaimTimeout);
    m_claimPolicy.recordStoreLatency(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - sentAt));
    logMessage(LogPriority::Essential,
               LogLevel::Info,
               "owner",
               "ownership claim sent",
               {{"epoch", static_cast<long long>(claim.term)},
                {"read_up_to", static_cast<long long>(readUpTo)},
                {"owner_silent_ms", static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(owner.silence).count())},
                {"owner_released", owner.released},
                {"owner_millicores", Internal::milliCores(owner.ownerShare)},
                {"millicores", Internal::milliCores(m_processorShare)},
                {"appended", std::holds_alternative<TopicAppended>(result)}});
    m_claiming = false; // whether the claim succeeded is known only from reading the topic
}

void TopicOwner::execute(DispatchAction action)
{
    std::visit(Overloaded{
                   [&](StartCommand &command) {
                       const asio::any_io_executor &executor = executorFor(!command.isBestEffort);
                       asio::co_spawn(executor, sendStart(std::move(command)), logException);
                   },
                   [&](StopCommand &command) { asio::co_spawn(m_executor, sendStop(std::move(command)), logException); },
                   [&](ThrottleCommand &command) { asio::co_spawn(m_executor, sendThrottle(std::move(command)), logException); },
                   // Polls renew leases, so they don't wait behind best-effort starts.
                   [&](PollCommand &command) { asio::co_spawn(m_executor, sendPoll(std::move(command)), logException); },
                   [&](RequestAdvice &request) { asio::co_spawn(m_executor, sendAdvice(std::move(request)), logException); },
                   [&](const ListLiveWorkers &) { asio::co_spawn(m_executor, listLiveWorkers(), logException); },
                   [&](AppendRecords &append) { startBatch(std::move(append)); },
                   [&](const StepDown &rejection) { stepDown("a worker has seen a newer owner", rejection); },
                   [&](const auto &event) { m_log.write(event, m_clock.now()); },
               },
               action);
}

void TopicOwner::execute(std::vector<DispatchAction> actions)
{
    for (DispatchAction &action : actions) {
        execute(std::move(action));
    }
}

void TopicOwner::writeResults()
{
    if (m_term) {
        m_log.writeDue(m_clock.now());
    } else {
        m_log.writeRemaining(m_clock.now());
    }
}

void TopicOwner::startBatch(AppendRecords batch)
{
    m_batchBeganAt = m_clock.now();
    m_batchAppends = (batch.records.empty() ? 0 : 1) + (batch.runs.empty() ? 0 : 1);
    if (!batch.records.empty()) {
        addServingRoom(batch.records);
        m_appender.append(std::move(batch.records), [this](const TopicAppendResult &result, TimePoint sentAt) {
            if (std::holds_alternative<TopicAppended>(result)) {
                m_dispatcher.confirmOwnership(sentAt);
            }
            batchAppended(result);
        });
    }
    if (!batch.runs.empty()) {
        // This doesn't prove the ownership: the next owner fences this topic only after it has claimed the other one.
        m_runsAppender.append(std::move(batch.runs), [this](const TopicAppendResult &result, TimePoint) { batchAppended(result); });
    }
}

void TopicOwner::batchAppended(const TopicAppendResult &result)
{
    if (checkAppend(result) && --m_batchAppends == 0) {
        const TimePoint now = m_clock.now();
        m_delays.batches.add(now - m_batchBeganAt);
        m_dispatcher.recordsStored(now);
        execute(m_dispatcher.takeActions()); // starts need not wait for the next tick
    }
}

void TopicOwner::renewClaim(TimePoint now)
{
    const std::optional<std::int64_t> term = termOrTakeover();
    const bool isDue = !m_appender.isAppending() && now - m_appender.lastRecord() >= Internal::ClaimRenewalInterval;
    if (!term || (!isDue && !isClaimOutdated())) {
        return;
    }
    m_isOverloadPublished = m_capacity.isExceeded();
    std::vector<KeyedRecord> records{claimRecord(*term, false)};
    addServingRoom(records);
    m_appender.append(std::move(records), [this](const TopicAppendResult &result, TimePoint sentAt) {
        if (checkAppend(result) && m_term) {
            m_dispatcher.confirmOwnership(sentAt);
        }
    });
}

bool TopicOwner::checkAppend(const TopicAppendResult &result)
{
    if (std::holds_alternative<TopicAppended>(result)) {
        return true;
    }
    const auto *fenced = std::get_if<ProducerFenced>(&result);
    endTakeover();
    stepDown("the store rejected an append: " + (fenced != nullptr ? fenced->reason : std::string("unexpected end of the topic")));
    return false;
}

KeyedRecord TopicOwner::claimRecord(std::int64_t term, bool released, const std::string &successor) const
{
    Wire::TopicClaim claim;
    claim.instance = m_instance;
    claim.incarnation = m_incarnation;
    claim.term = term;
    claim.sequence = m_appender.position().sequence;
    claim.released = released;
    claim.processorShare = m_processorShare;
    claim.overloaded = m_capacity.isExceeded();
    claim.successor = successor;
    claim.settled = m_term && m_dispatcher.earlierLeasesExpired(m_clock.now());
    return {0, claimKey(), encode(claim)};
}

void TopicOwner::addServingRoom(std::vector<KeyedRecord> &records)
{
    const TimePoint now = m_clock.now();
    if (!m_term || !m_servingRoomSchedule.isCheckDue(now)) {
        return;
    }
    const std::vector<ServingRoom> rooms = m_dispatcher.servingRoom();
    if (!m_servingRoomSchedule.shouldPublish(rooms, now)) {
        return;
    }
    Wire::ServingRoom record;
    record.term = *m_term;
    record.readUpTo = m_jobs.end();
    for (const ServingRoom &room : rooms) {
        Wire::PoolServingRoom &pool = record.pools.emplace_back();
        pool.workerPool = room.workerPool;
        pool.milliCores = room.milliCores;
        m_metrics.set("hyssop_serving_room_millicores", static_cast<double>(room.milliCores), {{"pool", room.workerPool}});
    }
    records.push_back({0, servingRoomKey(), encode(record)});
}

void TopicOwner::reportLoad(TimePoint now)
{
    if (now - m_lastLoadReport < Internal::LoadReportInterval) {
        return;
    }
    m_lastLoadReport = now;
    const DispatchSummary load = m_dispatcher.summary(now);
    logLoad(term(), load);
    reportDelays(now);
    m_metrics.set("hyssop_open_runs", static_cast<double>(load.openRuns));
    m_metrics.set("hyssop_waiting_tasks", static_cast<double>(load.pendingReserved + load.pendingBestEffort + load.pendingServing));
    m_metrics.add("hyssop_overdue_steps_total", {}, static_cast<double>(load.newlyOverdueSteps));
    m_metrics.set("hyssop_overdue_steps", static_cast<double>(load.overdueSteps));
    m_metrics.set("hyssop_overdue_steps_oldest_seconds", std::chrono::duration<double>(load.longestOverdue).count());
    m_metrics.set("hyssop_unreachable_workers", static_cast<double>(load.unreachableWorkers));
    m_metrics.set("hyssop_unreachable_runs", static_cast<double>(load.unreachableRuns));
    m_metrics.set("hyssop_free_millicores", static_cast<double>(load.freeMilliCores));
    m_metrics.set("hyssop_term", static_cast<double>(term()));
}

void TopicOwner::reportDelays(TimePoint now)
{
    const std::map<TaskKind, StageDelays> stageDelays = m_dispatcher.takeStageDelays();
    for (const auto &[kind, delays] : stageDelays) {
        m_delays.reads.add(delays.reads);
    }
    logDelays(term(), m_delays, now);
    for (const auto &[kind, delays] : stageDelays) {
        logStageDelays(term(), kind, delays);
    }
    m_metrics.set("hyssop_open_starts", m_delays.openStarts);
    m_metrics.set("hyssop_open_polls", m_delays.openPolls);
    m_delays.beginInterval(now);
}

void TopicOwner::countWithheldTime(TimePoint now)
{
    if (m_dispatcher.areStartsWithheld()) {
        m_metrics.add("hyssop_starts_withheld_seconds_total", {}, std::chrono::duration<double>(now - m_lastTick).count());
    }
    m_lastTick = now;
}

asio::awaitable<void> TopicOwner::sendStart(StartCommand command)
{
    const TimePoint sentAt = m_clock.now();
    ++m_delays.openStarts;
    const CommandResult result = co_await m_ports.workers.start(command);
    --m_delays.openStarts;
    m_delays.startResponses.add(m_clock.now() - sentAt);
    m_log.write(command, result, sentAt, m_clock.now());
    m_metrics.observe("hyssop_start_seconds", m_clock.now() - sentAt);
    if (command.withoutRun && std::holds_alternative<CommandExecuted>(result)) {
        m_metrics.observe("hyssop_serving_gap_seconds", *command.withoutRun);
    }
    m_metrics.add("hyssop_starts_total", {{"outcome", resultName(result)}});
    if (m_term) {
        m_dispatcher.startAnswered(command, result, m_clock.now());
    }
}

asio::awaitable<void> TopicOwner::sendStop(StopCommand command)
{
    const CommandResult result = co_await m_ports.workers.stop(command);
    m_log.write(command, result, m_clock.now());
    m_metrics.add("hyssop_stops_total", {{"outcome", resultName(result)}});
    m_metrics.add("hyssop_stop_reasons_total", {{"reason", stopReasonName(command.reason)}});
    if (m_term) {
        m_dispatcher.stopAnswered(command, result, m_clock.now());
    }
}

asio::awaitable<void> TopicOwner::sendThrottle(ThrottleCommand command)
{
    const CommandResult result = co_await m_ports.workers.throttle(command);
    m_log.write(command, result, m_clock.now());
    m_metrics.add("hyssop_paces_total", {{"outcome", resultName(result)}});
    if (m_term) {
        m_dispatcher.throttleAnswered(command, result, m_clock.now());
    }
}

asio::awaitable<void> TopicOwner::sendPoll(PollCommand command)
{
    const TimePoint sentAt = m_clock.now();
    ++m_delays.openPolls;
    const PollResult result = co_await m_ports.workers.poll(command);
    --m_delays.openPolls;
    m_delays.pollResponses.add(m_clock.now() - sentAt - command.wait);
    m_metrics.add("hyssop_polls_total", {{"outcome", std::holds_alternative<WorkerReport>(result) ? "listed" : "failed"}});
    if (m_term) {
        m_dispatcher.pollAnswered(command, result, sentAt, m_clock.now());
    }
}

asio::awaitable<void> TopicOwner::sendAdvice(RequestAdvice request)
{
    const TimePoint sentAt = m_clock.now();
    const AdviceResult result = co_await m_ports.advice.requestAdvice(request.step, request.workers, request.timeout);
    const TimePoint now = m_clock.now();
    const std::size_t usableTickets = m_term ? m_dispatcher.adviceAnswered(request, result, sentAt, now) : 0;
    m_metrics.observe("hyssop_advice_seconds", now - sentAt);
    m_metrics.add("hyssop_advice_requests_total", {{"outcome", adviceOutcome(result, usableTickets)}});
    logAdvice(request, result, usableTickets, now - sentAt);
}

asio::awaitable<void> TopicOwner::listLiveWorkers()
{
    const std::optional<std::int64_t> term = m_term;
    const TimePoint sentAt = m_clock.now();
    const LiveWorkersResult result = co_await m_ports.machines.liveWorkers();
    const auto *workers = std::get_if<std::set<std::string>>(&result);
    logLiveWorkers(result);
    if (!m_term || m_term != term) {
        co_return;
    }
    if (workers != nullptr) {
        m_dispatcher.liveWorkersListed(*workers, sentAt, m_clock.now());
    } else {
        m_dispatcher.liveWorkersUnknown();
    }
}

} // namespace Hyssop
