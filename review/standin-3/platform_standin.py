"""Stand-ins for the scripts of this review: the platform's store, runners, clients, and the system's processes.

One asyncio loop serves the store and the runners over HTTP/1.1 on loopback addresses. They follow PROTOCOL.md; the
system's processes are started with the command of the deploy file. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROW_BYTES = 65536
KEY = "key-of-the-team"
HOST = "jobs.example"
DEADLINE_MS = 3000  # How long a client waits for an answer; the deadline of the sheets.


def free_ports(count, host):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """The log of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.quiet = False  # Leaves out the lines of the runners.

    def __call__(self, text, always=False):
        if self.quiet and not always:
            return
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.begun


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


class HttpServer:
    """Serves handle(method, path, query, headers, body) -> (status, object), or None to close without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    break
                status, value = answer
                payload = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
                    .encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store: rows with versions, conditional transactions and a change feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.refused = 0
        self.server = HttpServer(self.handle)

    def put(self, table, part, key, text):
        self.apply([(table, part, key, base64.b64encode(text.encode()).decode())], [])

    def remove(self, table, part, key):
        self.apply([], [(table, part, key)])

    def text(self, table, part, key):
        row = self.rows.get((table, part, key))
        return base64.b64decode(row[0]).decode() if row else None

    def apply(self, puts, removals):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        for name in removals:
            if self.rows.pop(name, None):
                self.history.append((self.version, *name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def row(name, value, version):
        entry = {"table": name[0], "part": name[1], "key": name[2], "rowVersion": version}
        entry.update({"tombstone": True} if value is None else {"value": value})
        return entry

    async def handle(self, method, path, query, headers, body):
        stamp = {"currentMs": int(time.monotonic() * 1000)}
        if path == "/v1/rows-tx":
            await asyncio.sleep(0.003)
            call = json.loads(body)
            expect, puts, removals = call.get("expect", []), call.get("puts", []), call.get("remove", [])
            entries = expect + puts + removals
            size = [len(base64.b64decode(p["value"])) for p in puts]
            one_part = len({e.get("part", "") for e in entries}) <= 1 or call.get("across")
            if len(entries) > 100 or len(body) > 1_000_000 or not one_part or any(s > ROW_BYTES for s in size):
                self.refused += 1
                if self.refused in (1, 10, 100, 1000):
                    self.record(f"store: refusal number {self.refused}: {len(entries)} entries, {len(body)} bytes, "
                                f"largest row {max(size, default=0)} bytes: "
                                f"{puts[size.index(max(size))]['key'] if size else ''}")
                return 400, {**stamp, "rowVersion": self.version}
            for e in expect:
                name = (e["table"], e.get("part", ""), e["key"])
                held = self.rows.get(name)
                if (held[1] if held else 0) != e["rowVersion"]:
                    names = [(x["table"], x.get("part", ""), x["key"]) for x in expect]
                    current = [self.row(n, *self.rows[n]) for n in names if n in self.rows]
                    return 412, {**stamp, "rowVersion": self.version, "rows": current}
            self.apply([(p["table"], p.get("part", ""), p["key"], p["value"]) for p in puts],
                       [(r["table"], r.get("part", ""), r["key"]) for r in removals])
            return 200, {**stamp, "rowVersion": self.version}
        if path == "/v1/rows-get":
            wanted = (query["table"], query.get("part", ""))
            begin, limit = query.get("from", ""), min(int(query.get("limit", "500")), 500)
            names = sorted(n for n in self.rows if n[:2] == wanted and n[2] >= begin
                           and ("target" not in query or n[2] < query["target"]))
            return 200, {**stamp, "rowVersion": self.version, "hasMore": len(names) > limit,
                         "rows": [self.row(n, *self.rows[n]) for n in names[:limit]]}
        if path == "/v1/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                found = [h for h in self.history[-20000:] if h[0] > after and h[1] == query["table"]]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {**stamp, "rowVersion": self.version,
                                 "rows": [self.row(h[1:4], h[4], h[0]) for h in found]}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Run:
    def __init__(self, number, checkpoint, begun, length):
        self.number, self.checkpoint, self.begun, self.length = number, checkpoint, begun, length


class Runner:
    """One runner. `work(task)` gives (seconds, end kind) of a task; `checkpoint(task, seconds)` its progress."""

    def __init__(self, record, store, name, service, work, capacity, labels=("a", "r1"), checkpoint=None, zone="z1"):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.work, self.capacity, self.labels, self.zone = work, capacity, list(labels), zone
        self.checkpoint = checkpoint or (lambda task, seconds: "")
        self.server = HttpServer(self.handle)
        self.fence, self.lease, self.ends, self.running, self.gone = 0, None, [], {}, {}
        self.starts = []  # Task, run and time of each start.
        self.ended_count, self.born = 0, int(time.time() * 1000)
        self.zero, self.sequence, self.state = time.monotonic() - 100, 0, "ready"
        self.changed = asyncio.Event()
        self.sheds = False  # Starts are refused with 503 and nothing is done.
        self.tasks = []

    async def begin(self, host, port):
        self.address = f"{host}:{port}"
        await self.server.listen(host, port)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]

    def leave(self):
        """The runner exits; everything that runs on it ends with it."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for task, run in self.running.items():
            self.record(f"{self.name}: run {run.number} of {task} ends with the runner")
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def announce(self):
        self.sequence += 1
        self.store.put("servers", "", self.name, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}))

    async def beat(self):
        while True:
            self.announce()
            await asyncio.sleep(1.5)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            if self.lease is not None and self.clock() > self.lease:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if time.monotonic() - run.begun >= run.length:
                    self.end(task, self.work(task)[1])

    def end(self, task, how):
        run = self.running.pop(task)
        self.ended_count += 1
        saved = "" if how == "done" else self.saved(task, run)
        self.ends.append([self.ended_count, task, run.number, how, saved])
        self.gone[task] = max(self.gone.get(task, 0), run.number)
        self.record(f"{self.name}: run {run.number} of {task} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def saved(self, task, run):
        seconds = time.monotonic() - run.begun
        return self.checkpoint(task, seconds) or run.checkpoint

    def used(self, field):
        return sum(self.needs(task).get(field, 0) for task in self.running)

    def needs(self, task):
        return {"gpu": 1}

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-heatherquay-expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        call = json.loads(body or b"{}")
        fence = call.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/v1/hold":
            self.extend(call)
            self.ends = [e for e in self.ends if e[0] > call.get("lastSeen", 0)]
            if not self.ends and call.get("waitMs"):
                try:
                    await asyncio.wait_for(self.changed.wait(), call["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[t, r.number, self.saved(t, r),
                        min(99, int(100 * (time.monotonic() - r.begun) / r.length)), 0]
                       for t, r in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}
        if path == "/v1/run-start":
            return self.start(call)
        if path == "/v1/run-stop":
            task, number = call["task"], call["run"]
            self.record(f"{self.name}: order to stop run {number} of {task}")
            if task in self.running and self.running[task].number <= number:
                asyncio.get_running_loop().call_later(0.05, lambda: task in self.running and self.end(task, "stopped"))
            self.gone[task] = max(self.gone.get(task, 0), number)
            return 200, {"clockMs": self.clock()}
        return 200, {"clockMs": self.clock()}

    def extend(self, call):
        if "deadlineMs" in call:
            self.lease = max(self.lease or 0, min(call["deadlineMs"], self.clock() + 10_000))

    def start(self, call):
        task, number = call["task"], call["run"]
        if self.sheds:
            self.record(f"{self.name}: start of run {number} of {task} refused with 503, nothing done")
            return 503, {"clockMs": self.clock()}
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clockMs": self.clock()}
        if call["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.extend(call)
        if number <= self.gone.get(task, 0):
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if self.used("gpu") + self.needs(task).get("gpu", 0) > self.capacity["gpu"]:
            return 409, {"clockMs": self.clock(), "reason": "room"}
        self.running[task] = Run(number, call.get("lastCheckpoint", ""), time.monotonic(), self.work(task)[0])
        self.starts.append((task, number, self.record.now()))
        self.record(f"{self.name}: started run {number} of {task}")
        return 200, {"clockMs": self.clock()}


async def call(address, method, path, value=None, key=KEY, timeout=DEADLINE_MS / 1000):
    """One request of a client on a connection of its own. Returns (status, object); status 0 for no answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = json.dumps(value).encode() if value is not None else b""
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n"
                          f"X-Heatherquay-Deadline-Ms: {DEADLINE_MS}\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        status, answer = await asyncio.wait_for(exchange(), timeout)
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError):
        return 0, {}
    try:
        return status, json.loads(answer or b"{}")
    except ValueError:
        return status, {}


class System:
    """The store, the system's processes and their addresses."""

    def __init__(self, record, nodes=3):
        self.record, self.count = record, nodes
        self.store = Store(record)
        self.processes = {}
        self.folder = tempfile.TemporaryDirectory(prefix="heatherquay-review-")
        self.runners = {}

    async def begin(self, config):
        port = free_ports(1, "127.0.0.1")[0]
        self.store_address = f"127.0.0.1:{port}"
        await self.store.server.listen("127.0.0.1", port)
        self.store.put("op", "", "config", json.dumps(config))
        self.ports = [free_ports(3, f"127.0.0.{i + 2}") for i in range(self.count)]
        for i in range(self.count):
            self.start_process(i)

    def address(self, node, port=0):
        return f"127.0.0.{node + 2}:{self.ports[node][port]}"

    def settings(self, node):
        quoted = ", ".join(f'"{self.address(i, 2)}"' for i in range(min(self.count, 3)))
        return f"""node = "frontend-z1-{node}"
role = "entry"
machineClass = "frontend"
serves = ["frontend","control"]
ip = "127.0.0.{node + 2}"
zone = "z1"
region = "r"
seeds = [{quoted}]
bootstrap = true
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
controlMode = "invocation"
[zones]
z1 = "r"
[listen]
front = "{self.address(node, 0)}"
ready = "{self.address(node, 1)}"
control = "{self.address(node, 2)}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
[platform]
address = "{self.store_address}"
form = "table"
writesPerS = 800
readsPerS = 2000
transactionMs = 3.0
partitionWritesS = 300
rowBytes = {ROW_BYTES}
historyS = 20
"""

    def start_process(self, node):
        path = pathlib.Path(self.folder.name) / f"node-{node}.toml"
        path.write_text(self.settings(node))
        log = open(pathlib.Path(self.folder.name) / f"node-{node}.log", "ab")
        command = [str(ROOT / "target" / "heatherquay"), "serve"]
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder.name, "LANG": "C",
                       "HEATHERQUAY_NODE_FILE": str(path)}
        self.processes[node] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)

    async def ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answers = [await call(self.address(i, 1), "GET", "/v1/readiness") for i in range(self.count)]
            if all(a[0] == 200 for a in answers) and self.leader() is not None:
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        term = self.store.text("hq-board", "decider", "!term")
        owner = json.loads(term)["owner"] if term else ""
        return int(owner.rsplit("-", 1)[1]) if owner else None

    async def add_runner(self, runner, host="127.0.0.1"):
        await runner.begin(host, free_ports(1, host)[0])
        self.runners[runner.name] = runner
        return runner

    def logs(self, text):
        found = []
        for path in sorted(pathlib.Path(self.folder.name).glob("node-*.log")):
            found += [f"{path.stem}: {line}" for line in path.read_text(errors="replace").splitlines() if text in line]
        return found

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for runner in self.runners.values():
            runner.leave()
        self.store.server.close()
        self.folder.cleanup()


def config(version=1, priorities=(1,), attempts=3, guaranteed=0):
    routes = [{"name": f"r-{p}", "host": HOST, "prefix": f"/q{p}/", "kind": "unsafe", "timeoutMs": 3000,
               "latencyTargetMs": 1000, "priority": p, "service": "svc", "maxAttempts": attempts, "stretch": 3.0,
               "anonymous": False} for p in priorities]
    return {"version": version, "routes": routes,
            "services": [{"name": "svc", "maxConnections": 64, "rejectsOverload": True, "spare": False}],
            "limits": {"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "team", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": guaranteed}}]}


def main(case, folder):
    """Runs `case(system, record)`, which returns whether the rule held, and exits with the status of the issue."""
    record = Record(pathlib.Path(folder) / "record.txt")

    async def play():
        system = System(record)
        # SIGTERM from outside must not leave processes behind.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(system, record), 110)
        finally:
            system.end()

    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    if held is None:
        sys.exit(2)
    record("the rule held" if held else "the rule was broken", True)
    sys.exit(0 if held else 1)
