"""LOST: after a burst on a queue with advice, accepted submissions never run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from standin2 import Advice, call, route, run_case, service, submission_id  # noqa: E402

WORKERS, CPU = 12, 64000
DECIDE_MS, EACH_MS, VALID_MS = 100, 5, 3000  # 160 ms a call on 12 workers
USUAL_PER_S, BURST_X, BURST_S = 4.55, 2.6, 4.0  # pass-checkout of cbc-passes; the site's largest burst
FINISH_S, IDLE_S = 14, 3  # finish_s; time with nothing running
HOST, PATH = 'pass.example', '/checkout/'
STEPS = [dict(count=6, cpu=4100, memMb=100, estimateMs=1000)]


async def case(deployment, trouble):
    record = deployment.record
    await deployment.start_platform()
    advice = Advice(record, DECIDE_MS, EACH_MS, VALID_MS)
    deployment.advice = await advice.server.start(deployment.ip(1))
    policy = dict(decideMs=DECIDE_MS, eachMs=EACH_MS, validMs=VALID_MS)
    deployment.configure(1, [route('checkout', 'hall', advice=policy)], [service('hall')])
    for number in range(WORKERS):
        worker = await deployment.add_worker('i-%08x' % number, 'hall', cpu=CPU)
        worker.check_ticket = advice.is_valid
    for number in range(3):
        await deployment.add_node(f'front-{number}', number)
    await deployment.wait_ready()
    await asyncio.sleep(3)

    accepted, sends = {}, []

    async def submit():
        identity = submission_id()
        node = deployment.nodes[len(sends) % 3]
        for _ in range(5):
            status, _ = await call(node.front, 'POST', PATH + identity, HOST, dict(spec='ms=1000;cpu=4100', steps=STEPS))
            record.add('POST', identity, status)
            if status == 200:
                accepted[identity] = record.now()
            if status not in (0, 502, 504):
                return

    async def traffic(seconds, per_s):
        for _ in range(round(seconds * per_s)):
            sends.append(asyncio.create_task(submit()))
            await asyncio.sleep(1 / per_s)

    await traffic(6, USUAL_PER_S)
    record.add('burst begins' if trouble else 'no burst')
    await traffic(BURST_S, USUAL_PER_S * (BURST_X if trouble else 1))
    await traffic(10, USUAL_PER_S)
    await asyncio.gather(*sends)
    record.add('the traffic ends;', len(accepted), 'submissions accepted')
    await asyncio.sleep(FINISH_S)

    def started():
        return {task.split('.')[0] for worker in deployment.workers for _, task, _, _ in worker.starts}

    # From here on nothing else runs on the workers: the whole capacity is free.
    without_run = set(accepted) - started()
    in_use = sum(run['cpu'] for worker in deployment.workers for run in worker.runs.values())
    record.add(f'finish_s later {len(without_run)} submissions have not begun; {in_use} of {WORKERS * CPU} thousandths of a core in use')
    await asyncio.sleep(IDLE_S)
    idle = without_run - started()
    await asyncio.sleep(30 if idle else 0)
    never = set(accepted) - started()
    for identity in sorted(never):
        status, body = await call(deployment.nodes[0].front, 'GET', PATH + identity, HOST)
        record.add('GET', identity, status, body.decode())
    text = f'{len(accepted)} accepted, {len(idle)} idle for {IDLE_S} s after finish_s, {len(never)} of them still not begun 30 s later'
    record.add(text)
    print(text)
    return not idle


run_case(os.path.dirname(os.path.abspath(__file__)), case)
