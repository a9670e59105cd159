"""The path to a worker is cut for some seconds, with resets; the worker runs on. None of its tasks may run elsewhere meanwhile."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standin  # noqa: E402

WORKERS = 8
CUT_S = 5.0  # one worker of eight; kinds names a share of .1 and 5 s, the site file 0.17 and 5.5 s


async def test(record, folder, trouble):
    deployment = standin.Deployment(record, folder, nodes=3, workers=WORKERS)
    worker = deployment.workers[0]
    worker.behind_proxy = True
    try:
        await deployment.start(standin.manifest(3, ["batch"]))
        job = standin.new_id()
        step = {"count": 2 * WORKERS, "cpu": 1000, "memMb": 100, "estimateMs": 8000}
        if await deployment.submit(deployment.nodes[0], f"/batch/{job}", {"spec": "cpu=1000 ms=8000", "steps": [step]}) != 200:
            raise RuntimeError("the submission was not accepted")
        await asyncio.sleep(2)
        if trouble:
            record(f"the path to {worker.id} is cut, with resets")
            worker.proxy.cut()
            await asyncio.sleep(CUT_S)
            await worker.proxy.open()
            record(f"the path to {worker.id} is whole again")
        await asyncio.sleep(12)
        held = True
        runs = deployment.history(job)
        for first in runs:
            for second in runs:
                if first["task"] == second["task"] and first["began"] < second["began"] and (first["ended"] or time.monotonic()) > second["began"]:
                    held = False
                    record(f"two runs at the same time: {first['task']} run {first['run']} on {first['worker']} and run {second['run']} on {second['worker']}")
        return held
    finally:
        await deployment.stop()


standin.main(test, FOLDER)
