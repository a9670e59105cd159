"""Stand-ins for the users' platform, written from its pages: the store, workers, the balancer's settings, and callers.

The scripts in review/11 to review/15 import this module. Everything listens on loopback addresses and on free ports.
"""
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
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BEGAN = time.monotonic()

# The bounds and limits of the site cbc-passes, as the users' pages give them.
LIMITS = {'maxHoldMs': 6000, 'stopGraceMs': 900, 'gangTimeoutMs': 3000, 'graceS': 6, 'status_s': 120, 'finish_s': 14, 'cancel_ms': 3000,
          'recordBytes': 262144, 'callBytes': 2097152, 'checkpointS': 1, 'memoryMb': 260, 'heartbeatMs': 1500, 'drainMs': 2500}


class Record:
    """Writes record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')

    def __call__(self, text):
        self.file.write('%8.3f  %s\n' % (time.monotonic() - BEGAN, text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    return lines[0], headers, body


def message(status, body=b'', kind='application/json'):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    names = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 409: 'Conflict', 410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request',
             429: 'Too Many Requests', 503: 'Service Unavailable'}
    head = 'HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n' % (status, names.get(status, 'X'), kind, len(body))
    return head.encode() + body


class Server:
    """An HTTP server with kept connections. Subclasses answer in handle(); None breaks the connection off."""

    def __init__(self):
        self.writers = set()

    async def listen(self, host='127.0.0.1', port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 23)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target = line.split(' ')[:2]
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a channel of its own. Returns (status, body), or (None, reason)."""
    host, port = address.rsplit(':', 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b'' if body is None else json.dumps(body).encode()
            head = '%s %s HTTP/1.1\r\nContent-Length: %d\r\nContent-Type: application/json\r\n' % (method, path, len(data))
            for name, value in (headers or {}).items():
                head += '%s: %s\r\n' % (name, value)
            writer.write(head.encode() + b'\r\n' + data)
            line, _, answer = await read_message(reader)
            return int(line.split(' ')[1]), answer
    except TimeoutError:
        return None, 'no answer'
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, 'broken channel: %s' % type(error).__name__
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- the store


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.event = asyncio.Event()


class Store(Server):
    """The platform's metadata store: appends with producers, reads that wait, and the newest record of each key."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.refused = {}  # reasons of refusals of appends, with their counts

    def topic(self, name):
        return self.topics.setdefault(name, Partition())

    def put(self, name, key, value):
        value = json.dumps(value).encode() if isinstance(value, (dict, list)) else value
        self.add(self.topic(name), bytes([len(key)]) + key.encode() + (value or b''))

    def add(self, part, content):
        size = content[0]
        key, value = content[1:1 + size], content[1 + size:]
        if value:
            part.newest[key] = (len(part.records), value)
        else:
            part.newest.pop(key, None)
        part.records.append(content)
        part.event.set()
        part.event = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition('?')
        query = {n: re.sub('%(..)', lambda m: chr(int(m[1], 16)), v) for n, _, v in (p.partition('=') for p in query.split('&'))}
        part = self.topic(query.get('topic', ''))
        await asyncio.sleep(0.004)
        if path == '/v1/log-append':
            return self.append(part, query, body)
        if path == '/v1/log-read':
            return await self.read(part, query)
        if path == '/v1/log-newest':
            return self.list_newest(part, query)
        return message(404)

    def refuse(self, status, reason, query, answer=None):
        key = (query.get('topic'), status, reason)
        self.refused[key] = self.refused.get(key, 0) + 1
        if self.refused[key] <= 3:
            self.record('store refuses an append to %s with %d: %s' % (query.get('topic'), status, reason))
        return message(status, answer or {'error': reason})

    def append(self, part, query, body):
        records, position = [], 0
        while position < len(body):
            size = struct.unpack('>I', body[position:position + 4])[0]
            records.append(body[position + 4:position + 4 + size])
            position += 4 + size
        # "at most `recordBytes`; the records of one call total at most `callBytes`"
        if any(len(r) > LIMITS['recordBytes'] for r in records):
            longest = max(records, key=len)
            return self.refuse(400, 'a record is over recordBytes (key %s)' % longest[1:1 + longest[0]].decode('latin-1'), query)
        if len(body) > LIMITS['callBytes']:
            return self.refuse(400, 'a call is over callBytes', query)
        if 'at' in query and int(query['at']) != len(part.records):
            return self.refuse(412, 'end', query, {'end': len(part.records)})
        producer = None
        if 'producer' in query:
            epoch, sequence = int(query.get('epoch', 0)), int(query.get('sequence', 0))
            producer = part.producers.setdefault(query['producer'], {'epoch': -1, 'next': 0, 'answers': {}})
            if epoch < producer['epoch']:
                return self.refuse(409, 'fenced', query, {'reason': 'fenced'})
            if epoch == producer['epoch']:
                if sequence in producer['answers']:
                    return message(200, producer['answers'][sequence])
                if sequence != producer['next']:
                    return self.refuse(409, 'seq', query, {'reason': 'seq', 'sequence': producer['next']})
            else:
                producer.update(epoch=epoch, answers={})
        answer = {'offset': len(part.records), 'end': len(part.records) + len(records)}
        for content in records:
            self.add(part, content)
        if producer is not None:
            producer['next'] = sequence + 1
            producer['answers'][sequence] = answer
            for old in sorted(producer['answers'])[:-5]:
                del producer['answers'][old]
        return message(200, answer)

    async def read(self, part, query):
        start = int(query['from'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while start >= len(part.records) and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await part.event.wait()
            except TimeoutError:
                pass
        limit = int(query.get('maxKb', 1024)) * 1024
        body = struct.pack('>QQ', len(part.records), 0)
        first = len(body)
        for content in part.records[start:start + 5000]:
            if len(body) > first and len(body) + len(content) + 4 > limit:
                break
            body += struct.pack('>I', len(content)) + content
        return message(200, body, 'application/octet-stream')

    def list_newest(self, part, query):
        after = query.get('after', '').encode('latin-1')
        keys = sorted(k for k in part.newest if k > after)
        items, size = [], 0
        for key in keys:
            offset, value = part.newest[key]
            if items and (len(items) == 500 or size + len(value) > 1 << 20):
                break
            size += len(value)
            items.append({'key': key.decode('latin-1'), 'value': base64.b64encode(value).decode(), 'offset': offset})
        return message(200, {'items': items, 'more': len(items) < len(keys), 'end': len(part.records)})


# ---------------------------------------------------------------- workers


class Worker(Server):
    """A worker. The spec of a submission tells how its tasks behave: `ms=` work in ms, `tail=` a task that serves, with its tail in ms,
    `saved=` length of its checkpoints, `gang=` number of tasks that work only together, `need=` the kind of worker without which they fail at once,
    `spread=` by how many percent their work is shorter or longer, by their index."""

    gangs = {}  # members that are present, by step and run

    def __init__(self, record, number, cpu=64000, labels=('a',), zone='puget-a', gpu=0):
        super().__init__()
        self.gpu = gpu
        self.advice = None
        self.record = record
        self.id = 'i-%08x' % random.Random(number * 7919 + 1).getrandbits(32)
        self.rack = 'r1-%d' % (number // 8 + 1)
        self.zone = zone
        self.quiet = True  # starts and ends are counted, not written one by one
        self.starts = []  # (time, task, run)
        self.ends = []  # (time, task, run, how)
        self.begin_life(cpu, labels)

    async def crash(self):
        self.port = int(self.address.rsplit(':', 1)[1])
        self.is_up = False
        self.runs = {}
        await self.close()

    async def restart(self, kind):
        self.begin_life(self.cpu, [kind])
        await self.listen(port=self.port)

    def begin_life(self, cpu, labels):
        self.cpu = cpu
        self.kind = list(labels)[0]
        self.labels = list(labels) + [self.rack]
        self.is_up = True
        self.life_began = self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease = 0
        self.runs = {}
        self.finished = []
        self.last_end = 0
        self.barred = {}  # highest run that has ended or was stopped, by task
        self.changed = asyncio.Event()
        self.sequence = 0

    def clock(self):
        return 1000 + int((time.monotonic() - self.born_at) * 1000)

    def registration(self):
        self.sequence += 1
        return {'service': 'hall', 'address': self.address, 'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': 'ready', 'coldLeftMs': 0,
                'capacity': {'cpu': self.cpu, 'memMb': 256000, 'gpu': self.gpu}, 'labels': self.labels, 'clockMs': self.clock(), 'born': self.born,
                'sequence': self.sequence}

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        if run['gang']:
            run['group']['members'].discard(task)
            if run['group']['complete']:
                run['group'].setdefault('over', 'done' if how == 'done' else 'broken')
        self.barred[task] = max(self.barred.get(task, 0), run['run'])
        self.finished.append([self.last_end, task, run['run'], how, self.saved(run) if how != 'done' else ''])
        self.ends.append((time.monotonic(), task, run['run'], how))
        if not self.quiet:
            self.record('%s: run %d of %s ends %s' % (self.id, run['run'], task, how))
        self.changed.set()
        self.changed = asyncio.Event()

    def saved(self, run):
        if not run['saved_length'] or run['work'] < LIMITS['checkpointS']:
            return run['saved']
        return ('%x' % (hash((run['task'], int(run['work']))) & 0xffffffff)).rjust(run['saved_length'], '0')

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            together = not run['gang'] or self.is_gang_complete(run)
            if together:
                run['work'] += (now - run['at']) * run['pace'] / 100
            run['at'] = now
            if not together and now - run['begun'] >= LIMITS['gangTimeoutMs'] / 1000:
                self.end(task, 'alone')
                continue
            if run['gang'] and run['group'].get('over'):
                self.end(task, run['group']['over'])
                continue
            if 'stopping' in run and now >= run['stopping']:
                self.end(task, 'stopped')
            elif self.clock() >= self.lease:
                self.end(task, 'lapsed')
            elif run['need'] and run['need'] != self.kind and run['work'] >= 0.05:
                self.end(task, 'failed')
            elif run['ms'] and run['work'] * 1000 >= run['ms']:
                self.end(task, 'done')

    def is_gang_complete(self, run):
        run['group']['complete'] = run['group']['complete'] or len(run['group']['members']) >= run['gang']
        return run['group']['complete']

    async def handle(self, method, target, headers, body):
        if target == '/health':
            return message(200)
        if headers.get('x-hyssopferry-expect-instance', self.id) != self.id:
            return message(421)
        order = json.loads(body)
        self.advance()
        if order.get('fencingToken', 0) < self.token:
            return self.reject('fence')
        self.token = order.get('fencingToken', 0)
        answer = {'/v1/run-start': self.start, '/v1/run-stop': self.stop, '/v1/pace': self.pace}.get(target)
        if answer is not None:
            return answer(order)
        return await self.hold(order) if target == '/v1/hold' else message(404)

    def reject(self, reason):
        return message(409, {'clockMs': self.clock(), 'reason': reason})

    def hold_until(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + LIMITS['maxHoldMs']))

    def start(self, order):
        if order['deadlineMs'] <= self.clock():
            return self.reject('late')
        self.hold_until(order['deadlineMs'])
        task, number = order['task'], order['run']
        if task in self.runs and self.runs[task]['run'] == number:
            return message(200, {'clockMs': self.clock()})
        if task in self.runs or number <= self.barred.get(task, 0):
            return self.reject('old')
        if self.advice is not None and not self.advice.allows(task, self.id, order.get('ticket', '')):
            return self.reject('ticket')
        spec = dict(word.partition('=')[::2] for word in order['spec'].split())
        self.runs[task] = {'task': task, 'run': number, 'saved': order.get('saved', ''), 'at': time.monotonic(), 'work': 0.0, 'pace': 100,
                           'ms': int(spec.get('ms', 0)), 'tail': int(spec.get('tail', 0)), 'load': int(spec.get('load', 1000)),
                           'saved_length': int(spec.get('saved', 0)), 'gang': int(spec.get('gang', 0)),
                           'need': spec.get('need', ''), 'begun': time.monotonic()}
        if self.runs[task]['gang']:
            group = Worker.gangs.setdefault((task.rsplit('.', 1)[0], number), {'members': set(), 'complete': False})
            group['members'].add(task)
            self.runs[task]['group'] = group
        if 'spread' in spec:
            part = int(task.rsplit('.', 1)[1]) * 37 % 201 / 100 - 1
            self.runs[task]['ms'] = int(self.runs[task]['ms'] * (1 + part * int(spec['spread']) / 100))
        self.starts.append((time.monotonic(), task, number))
        if not self.quiet:
            self.record('%s: run %d of %s starts' % (self.id, number, task))
        return message(200, {'clockMs': self.clock()})

    def stop(self, order):
        task, number = order['task'], order['run']
        run = self.runs.get(task)
        if run is not None and run['run'] <= number:
            run.setdefault('stopping', time.monotonic() + 0.1)
        else:
            self.barred[task] = max(self.barred.get(task, 0), number)
        return message(200, {'clockMs': self.clock()})

    def pace(self, order):
        run = self.runs.get(order['task'])
        if run is None or run['run'] != order['run']:
            return self.reject('old')
        run['pace'] = order['percent']
        return message(200, {'clockMs': self.clock()})

    async def hold(self, order):
        if 'deadlineMs' in order:
            self.hold_until(order['deadlineMs'])
        self.finished = [row for row in self.finished if row[0] > order.get('lastSeen', 0)]
        until = time.monotonic() + min(order.get('waitMs', 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                pass
        self.advance()
        running = []
        for task, run in self.runs.items():
            if run['tail']:
                percent, load = min(100, int(run['work'] * 250)), run['tail'] + random.randint(0, 2)
            else:
                percent, load = int(run['work'] * 100000 / max(run['ms'], 1)), run['load'] * run['pace'] // 100
            running.append([task, run['run'], self.saved(run), percent, load])
        return message(200, {'clockMs': self.clock(), 'born': self.born, 'running': running, 'finished': self.finished[:500]})


# ---------------------------------------------------------------- the advice service


class Advice(Server):
    """The service that knows which workers may run a step. It handles one call at a time for each calling machine, in turn."""

    def __init__(self, record, rules):
        super().__init__()
        self.record, self.rules = record, rules
        self.waiting = 0
        self.turn = asyncio.Lock()
        self.tickets = {}  # (step, worker): (ticket, valid until)
        self.answered, self.refused, self.longest = 0, 0, 0.0

    async def handle(self, method, target, headers, body):
        order = json.loads(body)
        if self.waiting >= 32:
            self.refused += 1
            return message(429)
        self.waiting += 1
        began = time.monotonic()
        async with self.turn:
            self.waiting -= 1
            await asyncio.sleep((self.rules['decideMs'] + self.rules['eachMs'] * len(order['workers'])) / 1000)
        good = []
        for worker in order['workers']:
            if int(worker[-1], 16) % 2 == 0:  # the policy allows every other worker
                ticket = '%08x' % random.getrandbits(32)
                self.tickets[order['step'], worker] = (ticket, time.monotonic() + self.rules['validMs'] / 1000)
                good.append([worker, ticket])
        self.answered += 1
        self.longest = max(self.longest, time.monotonic() - began)
        return message(200, {'good': good, 'validMs': self.rules['validMs']})

    def allows(self, task, worker, ticket):
        known = self.tickets.get((task.rsplit('.', 1)[0], worker))
        return known is not None and known[0] == ticket and time.monotonic() <= known[1]


# ---------------------------------------------------------------- the system


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Node:
    """A process of the system, started with the command and the settings' template of the deploy file."""

    def __init__(self, name, zone, store, record, folder, share=0.1, advice=''):
        deploy = open(os.path.join(ROOT, 'deploy/system.toml')).read()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M)[1].split()
        template = open(os.path.join(ROOT, re.search(r'^template = "(.*)"', deploy, re.M)[1])).read()
        self.name, self.record, self.folder, self.process = name, record, folder, None
        self.ends = 0  # of the process, without a signal from the case
        self.ip = '127.%d.%d.%d' % (random.randint(1, 250), random.randint(1, 250), random.randint(2, 250))
        self.front = '%s:%d' % (self.ip, free_port(self.ip))
        self.ready = '%s:%d' % (self.ip, free_port(self.ip))
        values = {'nodeName': name, 'zone': zone, 'ip': self.ip, 'listen.front': self.front, 'listen.ready': self.ready, 'limits.cpuShare': share,
                  'platform.address': store.address, 'advice': advice, 'cloudApi.address': '', 'bounds.maxHoldMs': LIMITS['maxHoldMs'],
                  'bounds.stopGraceMs': LIMITS['stopGraceMs'], 'bounds.status_s': LIMITS['status_s'], 'bounds.graceS': LIMITS['graceS']}
        self.settings = os.path.join(folder, name + '.ini')
        with open(self.settings, 'w') as file:
            file.write(re.sub(r'\{\{(.*?)\}\}', lambda m: str(values[m[1]]), template))

    async def start(self):
        environment = {'PATH': os.environ.get('PATH', ''), 'HOME': self.folder, 'HYSSOPFERRY_SETTINGS': self.settings}
        log = open(os.path.join(self.folder, self.name + '.log'), 'ab')
        self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record('%s starts' % self.name)

    def memory_mb(self):
        try:
            status = open('/proc/%d/status' % self.process.pid).read()
            return int(re.search(r'VmRSS:\s+(\d+)', status)[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record('%s gets %s' % (self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def is_ready(self):
        return (await call(self.ready, 'GET', '/v1/ready', timeout=1))[0] == 200


class Site:
    """A small deployment: a store, workers of the service `hall`, and nodes. Queue `batch` has the path prefix /batch/."""

    HOST = 'queue.example'

    def __init__(self, folder):
        self.record = Record(folder)
        self.tasks = []
        self.nodes = []
        self.workers = []
        self.submissions = {}
        self.store = self.advice = self.folder = None

    async def open(self, workers=4, nodes=3, cpu=64000, zones=('puget-a', 'puget-b', 'willamette-a'), routes=None, gpus=(), advice=None):
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.store = await Store(self.record).listen()
        self.advice = await Advice(self.record, advice).listen() if advice else None
        self.version = 0
        self.put_config(routes or [self.route('batch', '/batch/')])
        for number in range(workers):
            worker = await Worker(self.record, number, cpu, zone=zones[number % len(zones)], gpu=gpus[number] if gpus else 0).listen()
            worker.advice = self.advice
            self.workers.append(worker)
        self.tasks.append(asyncio.ensure_future(self.beat()))
        self.tasks.append(asyncio.ensure_future(self.work()))
        for number in range(nodes):
            node = Node('front-%d' % (number + 1), zones[number % len(zones)], self.store, self.record, self.folder,
                        advice=self.advice.address if self.advice else '')
            self.nodes.append(node)
            await node.start()
        for _ in range(100):
            if all([await node.is_ready() for node in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError('the nodes are not ready')
        await asyncio.sleep(4)  # traffic starts some time after the machines do

    @staticmethod
    def route(name, prefix, **fields):
        return {'name': name, 'host': Site.HOST, 'pathPrefix': prefix, 'kind': 'unsafe', 'timeoutMs': 3000, 'sloMs': 1000, 'priority': 0,
                'service': 'hall', 'maxAttempts': 3, 'stretch': 2.0, **fields}

    def put_config(self, routes):
        self.version += 3
        self.store.put('keyed.op', 'config', {
            'version': self.version, 'routes': routes, 'services': [{'name': 'hall', 'enforcesCapacity': True}],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}})

    async def watch_memory(self):
        """Kills a process that exceeds memoryMb, and starts each process that has ended again after a short delay."""
        while True:
            for node in self.nodes:
                memory = node.memory_mb()
                if memory > LIMITS['memoryMb']:
                    self.record('%s is killed: %d MB, the limit is %d' % (node.name, memory, LIMITS['memoryMb']))
                    node.process.kill()
                if node.process.returncode is not None:
                    node.ends += 1
                    await asyncio.sleep(0.3)
                    await node.start()
            await asyncio.sleep(0.1)

    async def beat(self):
        while True:
            for worker in self.workers:
                if worker.is_up:
                    self.store.put('keyed.servers', worker.id, worker.registration())
            await asyncio.sleep(LIMITS['heartbeatMs'] / 1000)

    async def work(self):
        while True:
            for worker in self.workers:
                worker.advance()
            await asyncio.sleep(0.02)

    async def submit(self, spec, steps, prefix='/batch/', node=None, log=True, **fields):
        """Hands a submission in, with the retries that callers make. Returns its id, or None if it was not accepted."""
        identity = '%016x' % random.getrandbits(64)
        for attempt in range(5):
            target = node or random.choice([n for n in self.nodes if n.process.returncode is None])
            status, answer = await call(target.front, 'POST', prefix + identity, {'spec': spec, 'steps': steps, **fields},
                                        {'Host': self.HOST, 'X-Hyssopferry-Request-Deadline': '3000'})
            if log or status != 200:
                self.record('POST %s%s to %s: %s%s' % (prefix, identity, target.name, status, '' if status else ' (%s)' % answer))
            if status == 200:
                self.submissions[identity] = time.monotonic()
                return identity
            await asyncio.sleep(1.0)
        return None

    async def state(self, identity, prefix='/batch/'):
        for node in self.nodes:
            if node.process.returncode is None:
                status, answer = await call(node.front, 'GET', prefix + identity, None, {'Host': self.HOST, 'X-Hyssopferry-Request-Deadline': '3000'})
                if status == 200:
                    return json.loads(answer)['state']
                self.record('GET %s from %s: %s' % (identity, node.name, status))
        return None

    async def cancel(self, identity, prefix='/batch/'):
        for node in self.nodes:
            if node.process.returncode is None:
                status, _ = await call(node.front, 'DELETE', prefix + identity, None, {'Host': self.HOST, 'X-Hyssopferry-Request-Deadline': '3000'})
                self.record('DELETE %s to %s: %s' % (identity, node.name, status))
                if status in (200, 410):
                    return True
        return False

    def running(self, identity):
        return sum(task.startswith(identity + '.') for worker in self.workers for task in worker.runs)

    def starts(self, identity):
        return sum(task.startswith(identity + '.') for worker in self.workers for _, task, _ in worker.starts)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.end()
        for server in [*self.workers, self.advice, self.store]:
            if server is not None and hasattr(server, 'server'):
                await server.close()
        if self.folder is not None and 'KEEP' not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, scenario):
    """Runs scenario(site), which returns True if the rule held. Exits with 0 if it did, 1 if not, 2 if the case could not run."""

    async def run():
        loop, main = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, main.cancel)
        site = Site(folder)
        site.record('TROUBLE=%d' % TROUBLE)
        result = 2
        try:
            async with asyncio.timeout(115):
                held = await scenario(site)
            site.record('the rule %s' % ('held' if held else 'was broken'))
            result = 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # the case could not run
            site.record('could not run: %s %s' % (type(error).__name__, error))
        if site.store is not None:
            site.record('appends refused: %s' % site.store.refused)
        await site.close()
        return result

    try:
        result = asyncio.run(run())
    except BaseException as error:  # while the processes are ended
        print('%s: %s' % (type(error).__name__, error))
        result = 2
    print({0: 'held', 1: 'BROKEN', 2: 'could not run'}[result])
    sys.exit(result)
