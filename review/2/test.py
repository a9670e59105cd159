"""Workers fail all that they start, one after the other. Later all are sound, and a submission must find room again."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standin  # noqa: E402

WORKERS = 8
FAILING_S = 6.0  # share 0.125 of the workers at a time; kinds names a share of .15, the site file up to 6.5 s
SUBMIT_INTERVAL_S = 0.7
CALM_S = 15.0  # after the last disruption: more than the 4 s and 3 s of the rule, and than finish_s
IDLE_S = 3.0


async def submit_short_jobs(deployment):
    step = {"count": WORKERS, "cpu": 200, "memMb": 100, "estimateMs": 200, "antiAffinity": 1}
    while True:
        node = deployment.nodes[len(deployment.tasks) % len(deployment.nodes)]
        await deployment.submit(node, f"/batch/{standin.new_id()}", {"spec": "cpu=200 ms=200", "steps": [step]}, attempts=2)
        await asyncio.sleep(SUBMIT_INTERVAL_S)


async def test(record, folder, trouble):
    deployment = standin.Deployment(record, folder, nodes=3, workers=WORKERS)
    traffic = None
    try:
        await deployment.start(standin.manifest(3, ["batch"]))
        serving = {"count": WORKERS, "cpu": 1000, "memMb": 100, "estimateMs": 1000, "antiAffinity": 1, "longRunning": True}
        if await deployment.submit(deployment.nodes[0], f"/batch/{standin.new_id()}", {"spec": "cpu=1000 lasts", "steps": [serving]}) != 200:
            raise RuntimeError("the submission was not accepted")
        await asyncio.sleep(4)
        traffic = asyncio.create_task(submit_short_jobs(deployment))
        await asyncio.sleep(2)
        for worker in deployment.workers:
            worker.failing = trouble
            record(f"worker {worker.id} {'fails all that it starts' if trouble else 'is sound'} for {FAILING_S} s")
            await asyncio.sleep(FAILING_S)
            worker.failing = False
        traffic.cancel()
        await asyncio.sleep(CALM_S)
        job = standin.new_id()
        step = {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 200}
        if await deployment.submit(deployment.nodes[1], f"/batch/{job}", {"spec": "cpu=500 ms=200", "steps": [step]}) != 200:
            raise RuntimeError("the submission was not accepted")
        await asyncio.sleep(2 + IDLE_S)
        used = sum(run["cpu"] for worker in deployment.workers for run in worker.runs.values())
        record(f"{2 + IDLE_S} s after its ack: runs of {job}: {len(deployment.history(job))}; {used} of {WORKERS * 8000} thousandths of a core in use")
        held = len(deployment.history(job)) == 2
        if not held:
            await asyncio.sleep(12)
            record(f"12 s later: runs of {job}: {len(deployment.history(job))}")
            await deployment.request(deployment.nodes[1], "GET", f"/batch/{job}")
        return held
    finally:
        if traffic:
            traffic.cancel()
        await deployment.stop()


standin.main(test, FOLDER)
