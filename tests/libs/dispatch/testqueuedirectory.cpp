#include <dispatch/queuedirectory.h>

#include <criterion/criterion.h>

#include <string>

using namespace Hyssop;

namespace {

constexpr int ManyQueues = 5000;

ClusterConfig configuration(const std::string &queueName, const std::string &workerPool)
{
    ClusterConfig config;
    config.queues[queueName].name = queueName;
    config.queues[queueName].workerPool = workerPool;
    return config;
}

} // namespace

// Guards against accepted work that has no queue any more because a later configuration has removed it.
Test(queueDirectory, aRemovedQueueKeepsItsLastDefinition)
{
    QueueDirectory directory;
    directory.update(configuration("badges", "hall"));
    directory.update(configuration("badges", "annex"));
    directory.update(configuration("other", "hall"));
    directory.update(configuration("third", "hall"));
    cr_assert_not_null(directory.find("badges"));
    cr_expect_eq(directory.find("badges")->workerPool, "annex");
    cr_expect_null(directory.find("unknown"));
}

// Guards against jobs that run by the definition from before the removal of a queue that is defined again.
Test(queueDirectory, aQueueThatIsDefinedAgainHasItsNewDefinition)
{
    QueueDirectory directory;
    directory.update(configuration("badges", "hall"));
    directory.update(configuration("other", "hall"));
    directory.update(configuration("badges", "annex"));
    cr_expect_eq(directory.find("badges")->workerPool, "annex");
    directory.update(configuration("other", "hall"));
    cr_expect_eq(directory.find("badges")->workerPool, "annex");
}

// Guards against memory that grows with each configuration that replaces all queues.
Test(queueDirectory, theLongestRemovedQueuesAreForgotten)
{
    QueueDirectory directory;
    for (int number = 0; number < ManyQueues; ++number) {
        directory.update(configuration("queue" + std::to_string(number), "hall"));
    }
    cr_expect_null(directory.find("queue0"));
    cr_expect_not_null(directory.find("queue" + std::to_string(ManyQueues - 2)));
    cr_expect_not_null(directory.find("queue" + std::to_string(ManyQueues - 1)));
}
