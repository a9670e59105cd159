"""Stand-ins for the platform of hyssop-node: the metadata store, workers and the operator, and a client of its callers.

Everything listens on loopback addresses. The stand-ins follow PROTOCOL.md: keyed topics with producer epochs and sequence numbers,
workers with leases, fencing tokens and numbered ends of runs. Only the Python standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import struct
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(HERE)
BOUNDS = {"maxHoldMs": 6000, "stopGraceMs": 900, "graceS": 6, "status_s": 120}


def now_ms():
    return int(time.time() * 1000)


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self.begin:8.3f} {text}", file=self.file, flush=True)


class HttpServer:
    """HTTP/1.1 with keep-alive. A handler returns (status, body), or None to close the connection without a response."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                result = await self.handler(method, target, headers, body)
                if result is None:
                    break
                status, content = result
                kind = "application/json" if isinstance(content, str) else "application/octet-stream"
                content = content.encode() if isinstance(content, str) else content
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store: keyed topics with one partition each."""

    def __init__(self):
        self.topics = {}
        self.down_topics = set()  # calls for these get 503, and nothing is done
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, {"log": [], "newest": {}, "producers": {}})

    def add(self, name, content):
        topic = self.topic(name)
        key = content[1:1 + content[0]]
        if len(content) == 1 + len(key):
            topic["newest"].pop(key, None)
        else:
            topic["newest"][key] = len(topic["log"])
        topic["log"].append(content)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, name, key, value):
        """Writes a record as the operator and the workers do; no value removes the key."""
        key = key.encode()
        self.add(name, bytes([len(key)]) + key + (json.dumps(value).encode() if value is not None else b""))

    def read_key(self, name, key):
        topic = self.topic(name)
        offset = topic["newest"].get(key.encode())
        return None if offset is None else topic["log"][offset][1 + len(key):]

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        q = dict(urllib.parse.parse_qsl(query))
        name = q.get("topic", "")
        if name in self.down_topics:
            return 503, "{}"
        if path == "/v1/log-append":
            await asyncio.sleep(0.004)
            return (503, "{}") if name in self.down_topics else self.append(name, q, body)
        if path == "/v1/log-read":
            return await self.read(name, int(q["from"]), int(q.get("waitMs", 0)), int(q.get("maxKb", 1024)) * 1024)
        if path == "/v1/log-newest":
            return self.newest(name, q.get("after", ""))
        return 404, "{}"

    def append(self, name, q, body):
        topic = self.topic(name)
        end = len(topic["log"])
        producer = None
        if "producer" in q:
            epoch, sequence = int(q["epoch"]), int(q["sequence"])
            producer = topic["producers"].setdefault(q["producer"], {"epoch": -1, "next": -1, "answers": {}})
            if epoch < producer["epoch"]:
                return 409, json.dumps({"reason": "fenced"})
            if epoch > producer["epoch"]:
                producer["answers"] = {}
            elif sequence in producer["answers"]:
                return producer["answers"][sequence]
            elif sequence != producer["next"]:
                return 409, json.dumps({"reason": "seq", "sequence": producer["next"]})
        if "at" in q and int(q["at"]) != end:
            return 412, json.dumps({"end": end})
        position = 0
        while position < len(body):
            size = struct.unpack_from(">I", body, position)[0]
            self.add(name, body[position + 4:position + 4 + size])
            position += 4 + size
        answer = 200, json.dumps({"offset": end, "end": len(topic["log"])})
        if producer is not None:
            producer["epoch"], producer["next"] = epoch, sequence + 1
            producer["answers"][sequence] = answer
            for old in sorted(producer["answers"])[:-5]:
                del producer["answers"][old]
        return answer

    async def read(self, name, offset, wait_ms, maximum):
        until = time.monotonic() + wait_ms / 1000
        while len(self.topic(name)["log"]) <= offset and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if name in self.down_topics:
            return 503, "{}"
        log = self.topic(name)["log"]
        content = struct.pack(">QQ", len(log), 0)
        for record in log[offset:]:
            if len(content) > 16 and len(content) + len(record) > maximum:
                break
            content += struct.pack(">I", len(record)) + record
        return 200, content

    def newest(self, name, after):
        topic = self.topic(name)
        keys = sorted(key for key in topic["newest"] if key > after.encode())
        items = []
        for key in keys[:500]:
            offset = topic["newest"][key]
            value = topic["log"][offset][1 + len(key):]
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, json.dumps({"items": items, "more": len(keys) > 500, "end": len(topic["log"])})


class Worker:
    """A worker. The text of a submission says what its tasks do: "ms=N" or "ms=STEP:N,STEP.INDEX:N" is their duration, "fail=STEP.INDEX"
    names tasks that fail, "cpu=N" is what each needs, and "lasts" tasks run until they are stopped."""

    def __init__(self, name, record, milli_cores=8000, service="hall", labels=("a", "r1-1"), zone="a"):
        self.id = name
        self.record = record
        self.capacity = {"cpu": milli_cores, "memMb": 64000}
        self.service, self.labels, self.zone = service, list(labels), zone
        self.state = "ready"
        self.failing = False  # every run that it starts fails
        self.behind_proxy = False  # registers the address of a proxy
        self.born = now_ms()
        self.began = time.monotonic()
        self.token = 0
        self.lease_end = 0
        self.runs = {}
        self.ended_runs = {}
        self.ends = []
        self.lapsed_ends = set()  # numbers of ends that were listed when the lease lapsed
        self.end_number = 0
        self.history = []
        self.sequence = 0
        self.http = HttpServer(self.handle)

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
                "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock(), "born": self.born}

    async def run(self, store):
        self.address = await self.http.start()
        if self.behind_proxy:
            self.proxy = Proxy(self.address)
            self.address = await self.proxy.open()
        beat = 0
        while True:
            if time.monotonic() >= beat:
                store.put("keyed.servers", self.id, self.entry())
                beat = time.monotonic() + 1.5
            self.advance()
            await asyncio.sleep(0.01)

    def advance(self):
        now = time.monotonic()
        if self.clock() >= self.lease_end:
            for end in self.ends:
                self.lapsed_ends.add(end[0])
        for task, run in list(self.runs.items()):
            if self.clock() >= self.lease_end:
                self.finish(task, "lapsed")
            elif run["stop_at"] and now >= run["stop_at"]:
                self.finish(task, "stopped")
            elif run["due"] and now >= run["due"]:
                self.finish(task, run["outcome"])

    def finish(self, task, how):
        run = self.runs.pop(task)
        self.end_number += 1
        self.ends.append([self.end_number, task, run["run"], how, ""])
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run["run"])
        run["entry"].update(ended=time.monotonic(), how=how)
        self.record(f"worker {self.id}: {task} run {run['run']} ended: {how}")

    def reject(self, reason):
        return 409, json.dumps({"clockMs": self.clock(), "reason": reason})

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + BOUNDS["maxHoldMs"]))

    async def handle(self, method, target, headers, body):
        self.advance()
        if headers.get("x-hyssopferry-expect-instance", self.id) != self.id:
            return 421, "{}"
        command = json.loads(body)
        if command.get("fencingToken", 0) < self.token:
            return self.reject("fence")
        self.token = command.get("fencingToken", 0)
        if target == "/v1/run-start":
            return self.start(command)
        if target == "/v1/run-stop":
            task, run = command["task"], command["run"]
            if task in self.runs and self.runs[task]["run"] <= run:
                self.runs[task]["stop_at"] = time.monotonic() + 0.1
            self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
            return 200, json.dumps({"clockMs": self.clock()})
        if target == "/v1/hold":
            return await self.hold(command)
        return 200, json.dumps({"clockMs": self.clock()})

    def start(self, command):
        task, run = command["task"], command["run"]
        if command["deadlineMs"] <= self.clock():
            return self.reject("late")
        self.extend(command["deadlineMs"])
        current = self.runs.get(task)
        if current and current["run"] == run:
            return 200, json.dumps({"clockMs": self.clock()})
        if current or run <= self.ended_runs.get(task, 0):
            return self.reject("old")
        text = command["spec"]
        words = dict(word.partition("=")[::2] for word in text.split())
        cpu = int(words.get("cpu", 0))
        if cpu + sum(other["cpu"] for other in self.runs.values()) > self.capacity["cpu"]:
            return self.reject("room")
        _, _, step, index = task.rsplit(".", 3)
        fails = self.failing or f"{step}.{index}" in words.get("fail", "").split(",")
        durations = dict((part.partition(":")[::2] if ":" in part else ("*", part)) for part in words.get("ms", "100").split(","))
        milliseconds = float(durations.get(f"{step}.{index}") or durations.get(step) or durations.get("*") or 100)
        lasts = "lasts" in words and not fails
        now = time.monotonic()
        entry = {"task": task, "run": run, "began": now, "ended": None, "how": "running", "worker": self.id}
        self.history.append(entry)
        self.runs[task] = {"run": run, "cpu": cpu, "began": now, "lasts": lasts, "stop_at": None, "entry": entry,
                           "due": None if lasts else now + (0.03 if self.failing else milliseconds / 1000), "outcome": "failed" if fails else "done"}
        self.record(f"worker {self.id}: {task} run {run} started")
        return 200, json.dumps({"clockMs": self.clock()})

    async def hold(self, command):
        if "deadlineMs" in command:
            self.extend(command["deadlineMs"])
        for number, task, run, how, _ in self.ends:
            if number <= command["lastSeen"] and number not in self.lapsed_ends:
                next(e for e in self.history if e["task"] == task and e["run"] == run)["noted"] = True
                self.record(f"worker {self.id}: end {number} of {task} run {run}, {how}, is taken note of")
        self.ends = [end for end in self.ends if end[0] > command["lastSeen"]]
        until = time.monotonic() + command.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            await asyncio.sleep(0.005)
            self.advance()
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            percent = 100 if run["lasts"] else min(99, int(100 * (now - run["began"]) / (run["due"] - run["began"])))
            running.append([task, run["run"], "", percent, 1 if run["lasts"] else run["cpu"]])
        return 200, json.dumps({"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.ends[:500]})


class Proxy:
    """The path to a worker. While it is cut, connections are reset and new ones are refused; the worker runs on."""

    def __init__(self, target):
        self.target, self.port, self.server, self.writers = target, 0, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or free_port("127.0.0.1"))
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def cut(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.writers |= {writer, back_writer}
        await asyncio.gather(self.copy(reader, back_writer), self.copy(back_reader, writer))
        self.writers -= {writer, back_writer}

    @staticmethod
    async def copy(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


class Advice:
    """The service that knows which workers the policy of a queue allows."""

    def __init__(self, record, allowed):
        self.record, self.allowed = record, allowed
        self.http = HttpServer(self.handle)

    async def handle(self, method, target, headers, body):
        command = json.loads(body)
        await asyncio.sleep((50 + 2 * len(command["workers"])) / 1000)
        good = [[worker, f"{worker}-{command['step']}"] for worker in command["workers"] if worker in self.allowed]
        self.record(f"advice for {command['step']}: {len(good)} of {len(command['workers'])} workers are allowed")
        return 200, json.dumps({"good": good, "validMs": 3000})


async def call(address, method, path, host="queue.example", body=None, timeout=3.0):
    """One HTTP call. Returns (status, object), or (None, reason) without a complete response."""
    try:
        return await asyncio.wait_for(exchange(address, method, path, host, body, timeout), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        return None, type(error).__name__


async def exchange(address, method, path, host, body, timeout):
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        content = json.dumps(body).encode() if body is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nConnection: close\r\n"
                     f"X-Hyssopferry-Request-Deadline: {int(timeout * 1000)}\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        answer = await reader.readexactly(int(headers.get("content-length", 0)))
        status = int(head[0].split(" ")[1])
        return status, json.loads(answer) if answer.startswith(b"{") else {}
    finally:
        writer.close()


def manifest(version, routes, **changes):
    """A manifest with the named routes; the path prefix of route NAME is /NAME/."""
    route = {"kind": "unsafe", "timeoutMs": 3000, "sloMs": 1000, "priority": 0, "service": "hall", "maxAttempts": 3, "stretch": 2.0, **changes}
    return {"version": version, "routes": [{"name": name, "host": "queue.example", "pathPrefix": f"/{name}/", **route} for name in routes],
            "services": [{"name": "hall", "enforcesCapacity": True}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def free_port(host):
    """A free port below the range from which the system takes ports for outgoing connections."""
    import socket
    while True:
        port = random.randint(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                continue


def free_host():
    """A loopback address on which the metrics port of the settings is free."""
    import socket
    while True:
        host = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{random.randint(1, 254)}"
        with socket.socket() as probe:
            try:
                probe.bind((host, 9464))
                return host
            except OSError:
                continue


class Node:
    """A hyssop-node process, started with the command of the deploy file and settings from its template."""

    def __init__(self, index, store_address, advice_address, folder, record):
        self.host = free_host()
        self.name = f"front-a-{index + 1}"
        self.folder, self.record, self.process = folder, record, None
        self.front = f"{self.host}:{free_port(self.host)}"
        self.ready = f"{self.host}:{free_port(self.host)}"
        values = {"nodeName": self.name, "zone": "a", "listen.front": self.front, "listen.ready": self.ready, "ip": self.host, "limits.cpuShare": "0.1",
                  "platform.address": store_address, "advice": advice_address, "cloudApi.address": "127.0.0.1:1"}
        values.update({"bounds." + name: str(value) for name, value in BOUNDS.items()})
        text = open(os.path.join(REPOSITORY, "deploy", "hyssop-node.ini")).read()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        self.settings = os.path.join(folder, self.name + ".ini")
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        with open(os.path.join(self.folder, self.name + ".log"), "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/src/hyssop-node", cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C", "HYSSOPFERRY_SETTINGS": self.settings})
        self.record(f"node {self.name}: process started")

    async def wait_ready(self, timeout=8.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            status, _ = await call(self.ready, "GET", "/v1/ready", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} doesn't become ready")

    def signal(self, number):
        self.record(f"node {self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A store, workers and nodes on loopback addresses."""

    def __init__(self, record, folder, nodes=3, workers=4, milli_cores=8000):
        self.record, self.folder, self.node_count = record, folder, nodes
        self.workers = [Worker(f"i-{index}", record, milli_cores) for index in range(workers)]
        self.tasks = []

    async def start(self, config, advice="127.0.0.1:1"):
        self.store = Store()
        address = await self.store.http.start()
        self.store.put("keyed.op", "config", config)
        self.tasks = [asyncio.create_task(worker.run(self.store)) for worker in self.workers]
        self.nodes = [Node(index, address, advice, self.folder, self.record) for index in range(self.node_count)]
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        until = time.monotonic() + 10
        while self.owner() is None and time.monotonic() < until:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    def owner(self):
        """The node whose claim is the newest: the one that writes to the store under a condition."""
        claim = self.store.read_key("keyed.jobs", "owner") or b""
        return next((node for node in self.nodes if node.name.encode() in claim), None)

    async def request(self, node, method, path, body=None, timeout=3.0):
        status, answer = await call(node.front, method, path, body=body, timeout=timeout)
        self.record(f"caller: {method} {path} at {node.name}{' ' + body['spec'] if body else ''}: {status} {answer}")
        return status, answer

    async def submit(self, node, path, body, attempts=5):
        """Submits as requesters do: again after no response, 502, 503 or 504, with the same id."""
        status = None
        for _ in range(attempts):
            status, _ = await self.request(node, "POST", path, body)
            if status is not None and status < 500:
                return status
            await asyncio.sleep(0.5)
        return status

    def history(self, job):
        entries = [entry for worker in self.workers for entry in worker.history if entry["task"].startswith(job + ".")]
        return sorted(entries, key=lambda entry: entry["began"])

    async def stop(self):
        for node in getattr(self, "nodes", []):
            await node.kill()
        for task in self.tasks:
            task.cancel()


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(test, folder):
    """Runs test(record, folder, trouble). It returns True if the rule held. Exits with 0, 1, or 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # ends the processes on the way out
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        if not os.access(os.path.join(REPOSITORY, "target/src/hyssop-node"), os.X_OK):
            raise RuntimeError("target/src/hyssop-node is not built")
        with tempfile.TemporaryDirectory() as temporary:
            try:
                held = asyncio.run(asyncio.wait_for(test(record, temporary, trouble), 118))
            finally:
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp {temporary}/*.log {os.environ['KEEP_LOGS']}/")
        record("the rule held" if held else "the rule was broken")
        print("the rule held" if held else "the rule was broken")
        sys.exit(0 if held else 1)
    except Exception as error:  # the case couldn't run
        record(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
