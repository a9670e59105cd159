#include "singleworker.h"

#include <dispatch/claimtimes.h>
#include <dispatch/dispatcher.h>
#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

namespace Hyssop::Testing {

void beginWithSingleWorker(Dispatcher &dispatcher, Wire::StepJob job, std::int64_t milliCores, const ClaimTimes &claim)
{
    QueueInfo queue;
    queue.name = "batch";
    queue.workerPool = "hall";
    ClusterConfig config;
    config.queues["batch"] = queue;
    dispatcher.applyConfiguration(config, {});
    job.queue = "batch";
    JobTable table;
    table.apply({0, submissionKey("j"), encode(job)});
    dispatcher.beginTerm(1, table, claim, true);
    WorkerInfo worker;
    worker.id = "w";
    worker.workerPool = "hall";
    worker.address = "127.0.0.1:1";
    worker.capacity.milliCores = milliCores;
    dispatcher.updateWorker(worker);
}

} // namespace Hyssop::Testing
