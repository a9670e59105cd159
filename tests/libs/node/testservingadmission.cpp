#include <dispatch/servingroom.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <node/servingadmission.h>
#include <node/servingroomschedule.h>
#include <ports/clusterconfig.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Hyssop;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1000s};
constexpr std::int64_t Capacity = 82'000'000;
constexpr std::int64_t Reserve = Capacity * 8 / 100;
constexpr std::int64_t CommittedBefore = Capacity * 83 / 100;
constexpr std::int64_t JobDemand = 24 * 13'000;
constexpr std::int64_t Term = 3;

ClusterConfig configuration()
{
    ClusterConfig config;
    for (const char *name : {"web", "batch", "elsewhere"}) {
        QueueInfo &queue = config.queues[name];
        queue.name = name;
        queue.workerPool = queue.name == "elsewhere" ? "yard" : "hall";
    }
    return config;
}

Wire::StepJob servingJob()
{
    Wire::StepJob job;
    job.queue = "web";
    job.steps.resize(1);
    job.steps[0].taskCount = 24;
    job.steps[0].milliCores = 13'000;
    job.steps[0].longRunning = true;
    return job;
}

Wire::TopicClaim claim(std::int64_t term, bool released = false)
{
    Wire::TopicClaim value;
    value.term = term;
    value.released = released;
    return value;
}

Wire::ServingRoom publishedRoom(std::int64_t milliCores, std::int64_t readUpTo)
{
    Wire::ServingRoom room;
    room.term = Term;
    room.readUpTo = readUpTo;
    room.pools.resize(1);
    room.pools[0].workerPool = "hall";
    room.pools[0].milliCores = milliCores;
    return room;
}

struct Instance
{
    Instance() = default;

    /// Has read a claim and a room for the pool "hall" at Begin.
    explicit Instance(std::int64_t room)
    {
        apply({0, claimKey(), encode(claim(Term))}, Begin);
        apply({1, servingRoomKey(), encode(publishedRoom(room, 1))}, Begin);
    }

    void apply(const KeyedRecord &record, TimePoint now) { admission.jobRecordApplied(table.apply(record), now); }

    bool refuses(const Wire::StepJob &job, TimePoint now, const std::string &jobId = "job") const
    {
        return admission.decide(jobId, job, &config, now).isRefused();
    }

    ClusterConfig config = configuration();
    JobTable table;
    ServingAdmission admission{table};
};

/// An owner and several instances, each of which reads the topic now and then and accepts jobs between its reads.
class Installation
{
public:
    explicit Installation(bool isLimited)
        : m_isLimited(isLimited)
    {
        m_topic.push_back({0, claimKey(), encode(claim(Term))});
        for (std::size_t index = 0; index < Instances; ++index) {
            m_instances.push_back(std::make_unique<Instance>());
        }
    }

    /// Returns the largest capacity that serving tasks were committed to.
    std::int64_t run(Duration time, Duration betweenJobs)
    {
        TimePoint nextJob = Begin;
        for (TimePoint now = Begin; now < Begin + time; now += Step) {
            publish(now);
            readSome(now);
            for (; nextJob <= now; nextJob += betweenJobs) {
                submit(now);
            }
        }
        return m_committed;
    }

    int refused = 0;

private:
    static constexpr std::size_t Instances = 20;
    static constexpr Duration Step = 50ms;
    static constexpr Duration ReadInterval = 500ms;

    void append(const std::string &key, const std::string &value) { m_topic.push_back({static_cast<std::int64_t>(m_topic.size()), key, value}); }

    void publish(TimePoint now)
    {
        const std::int64_t room = Capacity - Reserve - m_committed;
        if (m_schedule.isCheckDue(now) && m_schedule.shouldPublish({{"hall", Capacity, room}}, now)) {
            append(servingRoomKey(), encode(publishedRoom(room, static_cast<std::int64_t>(m_topic.size()))));
        }
    }

    void readSome(TimePoint now)
    {
        const auto step = static_cast<std::size_t>((now - Begin) / Step);
        constexpr auto StepsPerRead = static_cast<std::size_t>(ReadInterval / Step);
        m_read.resize(Instances);
        for (std::size_t index = step % StepsPerRead; index < Instances; index += StepsPerRead) {
            for (; m_read[index] < m_topic.size(); ++m_read[index]) {
                m_instances[index]->apply(m_topic[m_read[index]], now);
            }
        }
    }

    void submit(TimePoint now)
    {
        const std::string jobId = "job" + std::to_string(m_jobs++);
        Instance &instance = *m_instances[static_cast<std::size_t>(m_jobs * 7) % Instances];
        if (m_isLimited && instance.refuses(servingJob(), now, jobId)) {
            ++refused;
            return;
        }
        instance.admission.beginSubmission(jobId, servingJob(), now);
        append(submissionKey(jobId), encode(servingJob()));
        m_committed += JobDemand;
    }

    bool m_isLimited;
    std::vector<KeyedRecord> m_topic;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::size_t> m_read; // number of records by instance
    ServingRoomSchedule m_schedule;
    std::int64_t m_committed = CommittedBefore;
    int m_jobs = 0;
};

} // namespace

/// Without a limit, serving jobs that arrive at 1.2 a second take the reserve of the short tasks and then the whole capacity.
Test(servingAdmission, servingJobsOfAllInstancesLeaveTheReserveToShortTasks)
{
    constexpr Duration BetweenJobs = 833ms;
    Installation unlimited(false);
    cr_assert_gt(unlimited.run(60s, BetweenJobs), Capacity);
    Installation limited(true);
    const std::int64_t committed = limited.run(60s, BetweenJobs);
    cr_assert_leq(committed, Capacity - Reserve);
    cr_assert_gt(committed, Capacity - Reserve - JobDemand, "jobs are refused although there is room");
    cr_assert_gt(limited.refused, 0);
}

/// Between two reads, instances accept jobs that the others don't know of.
Test(servingAdmission, aBurstTakesAtMostWhatArrivesBetweenTwoReadsFromTheReserve)
{
    constexpr Duration BetweenJobs = 100ms;
    constexpr std::int64_t JobsBetweenReads = 5;
    Installation limited(true);
    cr_assert_leq(limited.run(60s, BetweenJobs), Capacity - Reserve + JobsBetweenReads * JobDemand);
}

Test(servingAdmission, aJobThatNeedsMoreThanTheRoomIsRefusedWithADelay)
{
    const Instance instance(JobDemand - 1);
    const AdmissionDecision decision = instance.admission.decide("job", servingJob(), &instance.config, Begin + 1s);
    cr_assert(decision.isRefused());
    cr_assert(*decision.retryAfter >= 1s && *decision.retryAfter <= 10s);
    cr_assert_eq(decision.needed, JobDemand);
    cr_assert_eq(*decision.publishedRoom, JobDemand - 1);
    cr_assert_eq(decision.roomAge, Duration(1s));
    cr_assert_not(Instance(JobDemand).refuses(servingJob(), Begin));
}

/// Callers that are refused at the same time must not return at the same time.
Test(servingAdmission, refusedJobsReturnAtDifferentTimes)
{
    const Instance instance(0);
    std::set<std::chrono::seconds> delays;
    for (int number = 0; number < 100; ++number) {
        delays.insert(*instance.admission.decide("job" + std::to_string(number), servingJob(), &instance.config, Begin).retryAfter);
    }
    cr_assert_geq(delays.size(), 3);
}

Test(servingAdmission, allServingStepsOfAJobNeedRoom)
{
    Wire::StepJob job = servingJob();
    job.steps.push_back(job.steps[0]);
    cr_assert(Instance(2 * JobDemand - 1).refuses(job, Begin));
    cr_assert_not(Instance(2 * JobDemand).refuses(job, Begin));
}

Test(servingAdmission, shortAndBestEffortJobsAreNeverRefused)
{
    const Instance instance(-Capacity);
    Wire::StepJob job = servingJob();
    cr_assert(instance.refuses(job, Begin));
    job.steps[0].fillsIdle = true;
    cr_assert_not(instance.refuses(job, Begin));
    job.steps[0].fillsIdle = false;
    job.steps[0].longRunning = false;
    cr_assert_not(instance.refuses(job, Begin));
}

/// The room of a pool says nothing about another one.
Test(servingAdmission, jobsOfAnUnknownPoolOrQueueAreAccepted)
{
    const Instance instance(0);
    Wire::StepJob job = servingJob();
    job.queue = "elsewhere";
    cr_assert_not(instance.refuses(job, Begin));
    job.queue = "unknown";
    cr_assert_not(instance.refuses(job, Begin));
    cr_assert_not(instance.admission.decide("job", servingJob(), nullptr, Begin).isRefused());
}

Test(servingAdmission, aJobOfAnotherPoolTakesNoRoom)
{
    Instance instance(JobDemand);
    Wire::StepJob job = servingJob();
    job.queue = "elsewhere";
    instance.apply({2, submissionKey("other"), encode(job)}, Begin);
    cr_assert_not(instance.refuses(servingJob(), Begin));
    job.queue = "batch";
    instance.apply({3, submissionKey("same"), encode(job)}, Begin);
    cr_assert(instance.refuses(servingJob(), Begin));
}

/// While there is no owner, or one of an earlier version, nobody knows whether room has appeared.
Test(servingAdmission, anOldOrMissingRoomRefusesNothing)
{
    cr_assert_not(Instance().refuses(servingJob(), Begin));
    Instance instance(0);
    cr_assert(instance.refuses(servingJob(), Begin + 4s));
    cr_assert_not(instance.refuses(servingJob(), Begin + 6s));
}

Test(servingAdmission, theRoomOfAnEarlierOwnerRefusesNothing)
{
    Instance instance(0);
    instance.apply({2, claimKey(), encode(claim(Term, true))}, Begin);
    cr_assert_not(instance.refuses(servingJob(), Begin), "released");
    instance.apply({3, claimKey(), encode(claim(Term + 1))}, Begin);
    cr_assert_not(instance.refuses(servingJob(), Begin), "another owner");
}

Test(servingAdmission, ownSubmissionsCountUntilTheyAreReadAndThenOnce)
{
    Instance instance(2 * JobDemand);
    instance.admission.beginSubmission("own", servingJob(), Begin);
    cr_assert(instance.admission.isSubmitted("own", Begin));
    cr_assert_not(instance.refuses(servingJob(), Begin));
    instance.apply({2, submissionKey("own"), encode(servingJob())}, Begin);
    cr_assert_not(instance.admission.isSubmitted("own", Begin));
    cr_assert_not(instance.refuses(servingJob(), Begin), "counted twice");
    instance.admission.beginSubmission("next", servingJob(), Begin);
    cr_assert(instance.refuses(servingJob(), Begin));
    instance.admission.withdrawSubmission("next");
    cr_assert_not(instance.refuses(servingJob(), Begin));
}

/// "Not accepted" would not be true if the append of an earlier attempt has taken effect.
Test(servingAdmission, aRejectedAttemptDoesNotHideAnEarlierUndeterminedOne)
{
    Instance instance(JobDemand);
    instance.admission.beginSubmission("job", servingJob(), Begin);
    instance.admission.beginSubmission("job", servingJob(), Begin + 1s);
    cr_assert(instance.refuses(servingJob(), Begin + 1s, "other"));
    instance.admission.withdrawSubmission("job");
    cr_assert(instance.admission.isSubmitted("job", Begin + 1s));
    instance.admission.withdrawSubmission("job");
    cr_assert_not(instance.admission.isSubmitted("job", Begin + 1s));
}

/// A submission whose append never took effect must not take room for good.
Test(servingAdmission, aSubmissionThatIsNeverReadStopsToCount)
{
    Instance instance(JobDemand);
    instance.admission.beginSubmission("undetermined", servingJob(), Begin);
    instance.apply({2, servingRoomKey(), encode(publishedRoom(JobDemand, 2))}, Begin + 4s);
    cr_assert(instance.refuses(servingJob(), Begin + 4s));
    cr_assert_not(instance.refuses(servingJob(), Begin + 6s));
    cr_assert_not(instance.admission.isSubmitted("undetermined", Begin + 6s));
}
