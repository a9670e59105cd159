"""Stand-ins for the second review: the platform's store, workers, the list of machines, the advice service and the machines that run
hyssop-node. They follow PROTOCOL.md and DEPLOY.md. One process; real clock; loopback addresses only."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Bounds of the site cbc-passes (SYSTEM.md), in milliseconds where not named otherwise.
BOUNDS = dict(maxHoldMs=6000, stopGraceMs=900, status_s=120, graceS=6)
APPEND_S = 0.004
HEARTBEAT_S = 1.5


class Record:
    """What was sent, answered and run, with the seconds since the begin."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, 'record.txt'), 'w')

    def now(self):
        return time.monotonic() - self.begin

    def add(self, *words):
        self.file.write(f'{self.now():8.3f} ' + ' '.join(str(word) for word in words) + '\n')

    def close(self):
        self.file.close()


# HTTP/1.1


async def read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return lines[0], headers, body


class Server:
    """Answers requests on one address. The handler returns (status, body), or None to close the channel without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target = first.split(' ')[:2]
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    return
                status, content = answer
                content = content if isinstance(content, bytes) else json.dumps(content).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % (status, len(content)) + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Channel:
    """A channel of a requester."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        host, port = self.address.rsplit(':', 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def call(self, method, path, host, body=None, timeout=3.0):
        """Returns (status, body); raises if there is no complete answer."""
        content = b'' if body is None else json.dumps(body).encode()
        head = f'{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Hyssopferry-Request-Deadline: {int(timeout * 1000)}\r\n'
        head += f'Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n'
        self.writer.write(head.encode() + content)
        await self.writer.drain()
        self.sent = time.monotonic()
        first, self.headers, answer = await asyncio.wait_for(read_message(self.reader), timeout)
        return int(first.split(' ')[1]), answer

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def call(address, method, path, host, body=None, timeout=3.0):
    """One request on a channel of its own. Returns (status, body), or (0, reason) without a complete answer."""
    channel = Channel(address)
    try:
        await asyncio.wait_for(channel.open(), timeout)
        return await channel.call(method, path, host, body, timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError) as error:
        return 0, repr(error)
    finally:
        channel.close()


# The platform's store


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, content):
        key = content[1:1 + content[0]]
        if len(content) == 1 + len(key):
            self.newest.pop(key, None)
        else:
            self.newest[key] = len(self.records)
        self.records.append(content)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    def __init__(self):
        self.topics = {}
        self.server = Server(self.handle)

    def part(self, topic):
        return self.topics.setdefault(topic, Partition())

    def put(self, topic, key, value):
        """A write of the operator or of a worker; value None drops the key."""
        key = key.encode()
        content = b'' if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        part = self.part(topic)
        part.add(bytes([len(key)]) + key + content)
        part.notify()

    def value(self, topic, key):
        part = self.part(topic)
        offset = part.newest.get(key.encode())
        return None if offset is None else part.records[offset][1 + len(key):]

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition('?')
        query = dict(pair.split('=', 1) for pair in text.split('&') if '=' in pair)
        if path == '/v1/log-append':
            return await self.append(query, body)
        if path == '/v1/log-read':
            return await self.read(query)
        if path == '/v1/log-newest':
            return self.newest(query)
        return 404, {}

    async def append(self, query, body):
        if query['topic'] in ('keyed.op', 'keyed.servers'):
            return 403, {}
        part = self.part(query['topic'])
        records, position = [], 0
        while position < len(body):
            size, = struct.unpack_from('>I', body, position)
            records.append(body[position + 4:position + 4 + size])
            position += 4 + size
        if len(body) > 2097152 or any(len(record) > 262144 for record in records):
            return 400, {}
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            name, epoch, sequence = query.get('producer'), int(query.get('epoch', 0)), int(query.get('sequence', 0))
            producer = part.producers.setdefault(name, dict(epoch=-1, next=0, answers={})) if name else None
            if producer:
                if epoch < producer['epoch']:
                    return 409, dict(reason='fenced')
                if epoch == producer['epoch']:
                    if sequence in producer['answers']:
                        return 200, producer['answers'][sequence]
                    if sequence != producer['next']:
                        return 409, dict(reason='seq', sequence=producer['next'])
                else:
                    producer.update(epoch=epoch, answers={})
            if 'at' in query and int(query['at']) != len(part.records):
                return 412, dict(end=len(part.records))
            offset = len(part.records)
            for record in records:
                part.add(record)
            answer = dict(offset=offset, end=len(part.records))
            if producer:
                producer['next'] = sequence + 1
                producer['answers'][sequence] = answer
                for old in sorted(producer['answers'])[:-5]:
                    del producer['answers'][old]
            part.notify()
            return 200, answer

    async def read(self, query):
        part = self.part(query['topic'])
        start, limit = int(query['from']), int(query.get('maxKb', 1024)) * 1024
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while start >= len(part.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        content = b''
        for record in part.records[start:]:
            if content and len(content) + len(record) + 4 > limit:
                break
            content += struct.pack('>I', len(record)) + record
        return 200, struct.pack('>QQ', len(part.records), 0) + content

    def newest(self, query):
        part = self.part(query['topic'])
        after = re.sub('%([0-9A-F]{2})', lambda match: chr(int(match[1], 16)), query.get('after', '')).encode('latin-1')
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys:
            value = part.records[part.newest[key]][1 + len(key):]
            size += len(value)
            if len(items) == 500 or (items and size > 1 << 20):
                break
            items.append(dict(key=key.decode('latin-1'), value=base64.b64encode(value).decode(), offset=part.newest[key]))
        return 200, dict(items=items, more=len(items) < len(keys), end=len(part.records))


# Workers


class Worker:
    """One worker. Its tasks take the time that the spec names (ms=N)."""

    def __init__(self, record, store, identity, service, zone='puget-a', labels=('a', 'rpuget-1'), cpu=8000, enforces=True):
        self.record, self.store = record, store
        self.id, self.service, self.zone, self.labels = identity, service, zone, list(labels)
        self.cpu, self.mem, self.enforces = cpu, 32000, enforces
        self.server = Server(self.handle)
        self.draining = self.sequence = 0
        self.starts = []  # (seconds, task, run, labels at that time)
        self.check_ticket = None  # for queues with advice
        self.ends = []  # (seconds, task, run, how)
        self.up = False
        self.ticker = self.beater = None

    async def start(self, ip, port=0):
        """A lifetime begins."""
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs, self.finished, self.number, self.token, self.lease, self.barred = {}, [], 0, 0, 0, {}
        self.sequence = 0
        self.ended = asyncio.Event()
        await self.server.start(ip, port)
        self.up = True
        self.register()
        self.ticker = asyncio.create_task(self.tick())
        self.beater = asyncio.create_task(self.beat())

    def crash(self):
        self.up = False
        self.ticker.cancel()
        self.beater.cancel()
        for task in list(self.runs):
            self.ends.append((self.record.now(), task, self.runs[task]['run'], 'crash'))
        self.record.add('worker', self.id, 'crashes with', len(self.runs), 'runs')
        self.runs = {}
        self.server.stop()

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def register(self):
        self.sequence += 1
        entry = dict(service=self.service, address=self.server.address, zone=self.zone, version='v1', slots=8,
                     state='draining' if self.draining else 'ready', coldLeftMs=0, capacity=dict(cpu=self.cpu, memMb=self.mem, gpu=0),
                     labels=self.labels, clockMs=self.clock(), born=self.born, sequence=self.sequence)
        self.store.put('keyed.servers', self.id, entry)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            for task, run in list(self.runs.items()):
                if self.clock() >= self.lease:
                    self.end(task, 'lapsed')
                elif time.monotonic() >= run['due']:
                    self.end(task, run['how'])

    def end(self, task, how):
        run = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run['run'])
        self.number += 1
        self.finished.append([self.number, task, run['run'], how, ''])
        self.ends.append((self.record.now(), task, run['run'], how))
        self.record.add('worker', self.id, 'ends', task, 'run', run['run'], how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, target, headers, body):
        if headers.get('x-hyssopferry-expect-instance', self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        token = order.get('fencingToken', 0)
        if token < self.token:
            return self.reject('fence')
        self.token = token
        if target == '/v1/run-start':
            return self.run_start(order)
        if target == '/v1/run-stop':
            return self.run_stop(order)
        if target == '/v1/hold':
            return await self.hold(order)
        if target == '/v1/pace':
            return 200, dict(clockMs=self.clock())
        return 404, {}

    def reject(self, reason):
        return 409, dict(clockMs=self.clock(), reason=reason)

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS['maxHoldMs']))

    def run_start(self, order):
        task, run = order['task'], order['run']
        if order['deadlineMs'] <= self.clock():
            return self.reject('late')
        self.extend(order['deadlineMs'])
        current = self.runs.get(task)
        if current and current['run'] == run:
            return 200, dict(clockMs=self.clock())
        if current or run <= self.barred.get(task, 0):
            return self.reject('old')
        spec = dict(part.split('=', 1) for part in order['spec'].split(';') if '=' in part)
        needs = int(spec.get('cpu', 0))
        if self.enforces and needs + sum(other['cpu'] for other in self.runs.values()) > self.cpu:
            return self.reject('room')
        if self.check_ticket and not self.check_ticket(order, self):
            return self.reject('ticket')
        now = time.monotonic()
        self.runs[task] = dict(run=run, began=now, due=now + int(spec.get('ms', 100)) / 1000, cpu=needs, how=spec.get('how', 'done'), lasts='lasts' in spec)
        self.starts.append((self.record.now(), task, run, list(self.labels)))
        self.record.add('worker', self.id, 'starts', task, 'run', run, 'labels', ','.join(self.labels))
        return 200, dict(clockMs=self.clock())

    def run_stop(self, order):
        task, run = order['task'], order['run']
        self.barred[task] = max(self.barred.get(task, 0), run)
        if task in self.runs and self.runs[task]['run'] <= run:
            self.end(task, 'stopped')
        return 200, dict(clockMs=self.clock())

    async def hold(self, order):
        if 'deadlineMs' in order:
            self.extend(order['deadlineMs'])
        self.finished = [end for end in self.finished if end[0] > order.get('lastSeen', 0)]
        until = time.monotonic() + order.get('waitMs', 0) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[task, run['run'], '', self.percent(run), run['cpu']] for task, run in self.runs.items()]
        return 200, dict(clockMs=self.clock(), born=self.born, running=running, finished=self.finished[:500])

    @staticmethod
    def percent(run):
        now = time.monotonic()
        return min(100, int(100 * (now - run['began']) / (0.2 if run['lasts'] else max(run['due'] - run['began'], 0.001))))


# The advice service


class Advice:
    """Allows every worker. It handles the calls of a machine one at a time, in turn; only the machine that gives orders calls it."""

    def __init__(self, record, decide_ms, each_ms, valid_ms):
        self.record, self.decide_ms, self.each_ms, self.valid_ms = record, decide_ms, each_ms, valid_ms
        self.server = Server(self.handle)
        self.turn = asyncio.Lock()
        self.waiting, self.tickets = 0, {}

    async def handle(self, method, target, headers, body):
        order = json.loads(body)
        if self.waiting >= 32:
            self.record.add('advice: 429 for', order['step'])
            return 429, {}
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            await asyncio.sleep((self.decide_ms + self.each_ms * len(order['workers'])) / 1000)
        good = []
        for worker in order['workers']:
            ticket = '%016x' % random.getrandbits(64)
            self.tickets[ticket] = (order['step'], worker, time.monotonic() + self.valid_ms / 1000)
            good.append([worker, ticket])
        self.record.add('advice: answers for', order['step'], 'on', len(good), 'workers;', self.waiting, 'calls wait')
        return 200, dict(good=good, validMs=self.valid_ms)

    def is_valid(self, order, worker):
        step, identity, until = self.tickets.get(order.get('ticket'), ('', '', 0))
        return step == order['task'].rsplit('.', 1)[0] and identity == worker.id and time.monotonic() < until


# Machines of the system


def render(template, fields):
    """Fills in the template as DEPLOY.md says; only plain values are needed here."""

    def value(match):
        found = fields
        for name in match[1].split('.'):
            found = found.get(name) if isinstance(found, dict) else None
        return '' if found is None else str(found)

    return re.sub(r'\{\{([A-Za-z_.]+)\}\}', value, template)


class Node:
    """A machine with the role of the deploy file."""

    def __init__(self, deployment, name, ip, zone):
        self.deployment, self.name, self.ip, self.zone = deployment, name, ip, zone
        self.front, self.ready, self.process = f'{ip}:8161', f'{ip}:8167', None

    def settings(self):
        fields = dict(nodeName=self.name, zone=self.zone, ip=self.ip, listen=dict(front=self.front, ready=self.ready), limits=dict(cpuShare=0.1),
                      platform=dict(address=self.deployment.store.server.address), bounds=BOUNDS,
                      cloudApi=dict(address=self.deployment.machines.address), advice=self.deployment.advice or None)
        with open(os.path.join(ROOT, self.deployment.role['template'])) as template:
            return render(template.read(), fields)

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + '.ini')
        with open(path, 'w') as file:
            file.write(self.settings())
        words = self.deployment.role['run'].split()
        environment = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        log = open(os.path.join(self.deployment.folder, self.name + '.log'), 'a')
        self.process = await asyncio.create_subprocess_exec(os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log,
                                                            env=dict(environment, HYSSOPFERRY_SETTINGS=path))
        log.close()
        self.deployment.record.add('machine', self.name, 'starts')

    def signal(self, number):
        self.deployment.record.add('machine', self.name, 'gets', signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def is_ready(self):
        status, _ = await call(self.ready, 'GET', '/v1/ready', 'x', timeout=1.0)
        return status == 200


class Deployment:
    """The store, the workers and the machines of a small installation."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix='hyssop-review-')
        with open(os.path.join(ROOT, 'deploy/system.toml')) as file:
            role = file.read().split('[roles.node]')[1]
        self.role = dict(re.findall(r'^(run|template) = "(.*)"$', role, re.MULTILINE))
        self.base = self.free_base()
        self.store = Store()
        self.machines = Server(self.list_machines)
        self.workers, self.nodes, self.advice = [], [], ''

    @staticmethod
    def free_base():
        """Returns the first three numbers of loopback addresses on which the machines' ports are free."""
        while True:
            base = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}.'
            try:
                for number in range(10, 16):
                    for port in (8161, 8167, 9464):
                        with socket.socket() as probe:
                            probe.bind((base + str(number), port))
                return base
            except OSError:
                continue

    def ip(self, number):
        return self.base + str(number)

    async def start_platform(self):
        await self.store.server.start(self.ip(1))
        await self.machines.start(self.ip(1))

    async def list_machines(self, method, target, headers, body):
        rows = [dict(machine='m-' + worker.id, pool=worker.service, state='up' if worker.up else 'down', zone=worker.zone, labels=worker.labels,
                     capacity=dict(cpu=worker.cpu, memMb=worker.mem, gpu=0), id=worker.id) for worker in self.workers]
        return 200, dict(machines=[row for row in rows if row['state'] == 'up'], nextToken=None)

    def configure(self, version, routes, services):
        """The operator writes a manifest; the store's answer is the ack."""
        limits = dict(maxHeaderBytes=16384, maxBodyBytes=262144, headerTimeoutMs=3000, idleTimeoutMs=15000)
        self.store.put('keyed.op', 'config', dict(version=version, routes=routes, services=services, limits=limits))
        self.record.add('operator: manifest', version, 'acknowledged, routes', ' '.join(route['name'] for route in routes))

    async def add_worker(self, identity, service, **options):
        worker = Worker(self.record, self.store, identity, service, **options)
        await worker.start(self.ip(2))
        self.workers.append(worker)
        return worker

    async def add_node(self, name, number, zone='puget-a'):
        node = Node(self, name, self.ip(10 + number), zone)
        self.nodes.append(node)
        await node.start()
        return node

    async def wait_ready(self, seconds=12):
        until = time.monotonic() + seconds
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(node.name + ' is not ready')
                await asyncio.sleep(0.1)

    async def stop(self):
        for node in self.nodes:
            await node.end()
        for worker in self.workers:
            if worker.up:
                worker.ticker.cancel()
                worker.beater.cancel()
            worker.server.stop()
        self.store.server.stop()
        self.machines.stop()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def route(name, service, host='pass.example', prefix=None, **fields):
    return dict(dict(name=name, host=host, pathPrefix=prefix or f'/{name}/', kind='unsafe', timeoutMs=3000, sloMs=1000, priority=0, service=service,
                     maxAttempts=3, stretch=2.0, homeRegions=[]), **fields)


def service(name, enforces=True):
    return dict(name=name, healthPath='/health', maxConns=64, protocol='h1', tls=False, coldStartS=0.0, coldPerS=0.0, enforcesCapacity=enforces, spare=False)


def submission_id():
    return '%016x' % random.getrandbits(64)


def run_case(folder, case):
    """Runs the coroutine case(deployment, trouble); it returns True if the rule held. Exits with 0 (held), 1 (broken) or 2 (could not run)."""

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # cancelled waits at the end
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment, os.environ.get('TROUBLE') != '0'), 112)
        finally:
            await deployment.stop()

    try:
        held = asyncio.run(play())
    except Exception as error:  # noqa: whatever kept the case from running
        print('could not run:', repr(error))
        raise SystemExit(2)
    print('held' if held else 'BROKEN')
    raise SystemExit(0 if held else 1)
