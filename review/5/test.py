"""A task fails for the last time that its queue allows while the store is partly down, and the owner is killed: it must not run again."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standin  # noqa: E402

ATTEMPTS = 2  # maxAttempts of the queue, as for pass-checkout of cbc-passes
DOWN_S = 4.5  # platform_down of the site file: for_s 4.5


async def test(record, folder, trouble):
    deployment = standin.Deployment(record, folder, nodes=3, workers=4)
    try:
        await deployment.start(standin.manifest(3, ["batch"], maxAttempts=ATTEMPTS))
        job = standin.new_id()
        owner = deployment.owner()
        other = next(node for node in deployment.nodes if node is not owner)
        step = {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 1500}
        if await deployment.submit(other, f"/batch/{job}", {"spec": "cpu=500 fail=0.0 ms=0.0:1500,0.1:30000", "steps": [step]}) != 200:
            raise RuntimeError("the submission was not accepted")
        failing = f"{job}.0.0.0"
        while len([entry for entry in deployment.history(job) if entry["task"] == failing]) < ATTEMPTS:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        if trouble:
            record("store: the partition of one topic is down, the others are up")
            deployment.store.down_topics = {"keyed.jobs"}
        while [entry for entry in deployment.history(job) if entry["task"] == failing][-1]["ended"] is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.6)
        if trouble:
            owner.signal(signal.SIGKILL)
            await owner.process.wait()
            await asyncio.sleep(DOWN_S - 1.6)
            record("store: all partitions are up")
            deployment.store.down_topics = set()
            await owner.start()
        await asyncio.sleep(14)
        await deployment.request(other, "GET", f"/batch/{job}")
        runs = [entry for entry in deployment.history(job) if entry["task"] == failing]
        noted = [entry for entry in runs if entry["how"] == "failed" and entry.get("noted")]
        later = [entry for entry in runs if len([end for end in noted if end["ended"] < entry["began"]]) >= ATTEMPTS]
        record(f"runs of {failing}: {[(entry['run'], entry['worker'], entry['how'], entry.get('noted', False)) for entry in runs]}")
        return not later
    finally:
        await deployment.stop()


standin.main(test, FOLDER)
