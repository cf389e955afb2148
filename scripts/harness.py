"""Starts stand-ins and entries, generates load and verifies responses. Used by scripts/demo and scripts/bench-control."""
import hashlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("HEATHERQUAY_BUILD_DIR", "build")
BINARY = BUILD / "heatherquay"
STANDINS = BUILD / "tests" / "heatherquay-standins"
CALLER_TOKEN = "demo-caller-token"
OPERATOR_TOKEN = "demo-operator-token"
HOST = "127.0.0.1"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count):
    """Returns distinct ports that were free at the time of the call. All sockets stay open until every port is known,
    since the kernel may assign a closed socket's port again."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def send_request(address, method, path, body=None, headers=None, timeout=10):
    """Sends one request on a new connection. Returns (status, dict of lower-case header names, body bytes)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    finally:
        connection.close()


class Processes:
    """Starts processes and keeps track of them, so that each one can be stopped by its process id."""

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        self.started = {}

    def start(self, name, arguments, detached=False):
        with open(self.directory / f"{name}.log", "ab") as log:
            out = open(self.directory / f"{name}.out", "wb")
            process = subprocess.Popen([str(a) for a in arguments], stdout=out, stderr=log,
                                       start_new_session=detached)
            out.close()
        self.started[name] = process
        return process

    def wait_output(self, name, last, timeout=10):
        """Waits until a process prints the line `last` and returns all name=value lines of its output."""
        deadline = time.monotonic() + timeout
        path = self.directory / f"{name}.out"
        while time.monotonic() < deadline:
            text = path.read_text()
            if f"{last}\n" in text:
                return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
            if self.started[name].poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{name} exited or did not print {last} within {timeout} s; "
                           f"see {self.directory / (name + '.log')}")

    def stop(self, name, timeout=35):
        """Sends SIGTERM to a process and returns its exit status, or None if it did not exit in time and was killed."""
        process = self.started.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def kill(self, name):
        process = self.started.pop(name)
        process.kill()
        process.wait()

    def kill_all(self):
        for process in self.started.values():
            if process.poll() is None:
                process.kill()
        for process in self.started.values():
            process.wait()
        self.started.clear()


class Cluster:
    """Runs all stand-ins in one process and each entry in its own process."""

    def __init__(self, processes, entries=3, domains=("suva", "lautoka", "nadi"), services=("hire-desk",),
                 settings="", detached=False, standin_options=()):
        self.processes = processes
        self.detached = detached
        self.domains = domains
        self.services = services
        self.settings = settings
        processes.start("standins", [STANDINS, "all", *standin_options], detached)
        self.standins = processes.wait_output("standins", "ready=1")
        self.control = self.standins["control"]
        ports = free_ports(3 * entries)
        self.entries = {}
        for number in range(entries):
            name = f"{domains[number % len(domains)]}-{number + 1}"
            callers, operators, peers = (f"{HOST}:{port}" for port in ports[3 * number:3 * number + 3])
            self.entries[name] = {"callers": callers, "operators": operators, "peers": peers,
                                  "domain": domains[number % len(domains)]}

    def config(self, name):
        entry = self.entries[name]
        lines = [
            "[entry]", f'id = "{name}"', 'region = "viti"', f'failure_domain = "{entry["domain"]}"',
            'peer_secret = "demo-peer-secret"',
            "[listen]", f'callers = "{entry["callers"]}"', f'operators = "{entry["operators"]}"',
            f'peers = "{entry["peers"]}"',
            "[table]", f'address = "{self.standins["table"]}"',
            "[object_store]", f'address = "{self.standins["objects"]}"',
            "[vm_list]", f'address = "{self.standins["vms"]}"',
            "[[team]]", 'id = "guitars"', f'token_sha256 = ["{sha256(CALLER_TOKEN)}"]',
            "[[operator]]", 'name = "demo"', f'token_sha256 = ["{sha256(OPERATOR_TOKEN)}"]',
        ]
        for other, data in self.entries.items():
            if other != name:
                lines += ["[[peer]]", f'id = "{other}"', f'address = "{data["peers"]}"']
        for service in self.services:
            lines += ["[[service]]", f'id = "{service}"', "[[service.objective]]", 'latency_target = "500ms"']
        path = self.processes.directory / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n" + self.settings)
        return path

    def start_entry(self, name):
        self.processes.start(name, [BINARY, "serve", "--config", self.config(name)], self.detached)

    def start_entries(self, timeout=20):
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_ready(name, timeout)

    def wait_ready(self, name, timeout=20):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self.processes.started[name].poll() is not None:
                raise RuntimeError(f"entry {name} exited with status {self.processes.started[name].returncode}; "
                                   f"see {self.processes.directory / (name + '.log')}")
            try:
                if send_request(self.entries[name]["callers"], "GET", "/readyz", timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"entry {name} is not ready after {timeout} s")

    def fault(self, target, **settings):
        status, _, body = send_request(self.control, "POST", "/control", json.dumps({"target": target, **settings}))
        if status != 200:
            raise RuntimeError(body.decode())

    def record(self, page="record"):
        return json.loads(send_request(self.control, "GET", f"/{page}", timeout=30)[2])

    def run(self, entry, *arguments, check=True):
        """Runs a heatherquay command against one entry and returns (exit status, parsed JSON or text)."""
        environment = dict(os.environ, HEATHERQUAY_OPERATOR=self.entries[entry]["operators"],
                           HEATHERQUAY_TOKEN=OPERATOR_TOKEN)
        done = subprocess.run([str(BINARY), *arguments], env=environment, capture_output=True, text=True, timeout=30,
                              check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"heatherquay {' '.join(arguments)}: status {done.returncode}: "
                               f"{done.stderr.strip() or done.stdout.strip()}")
        try:
            return done.returncode, json.loads(done.stdout)
        except ValueError:
            return done.returncode, done.stdout

    def commit(self, entry, *intent):
        """Plans an intent, confirms the plan and returns both."""
        plan = self.run(entry, "plan", *intent, "--json")[1]
        return plan, self.run(entry, "confirm", plan["id"], "--json")[1]


class Load:
    """Runs callers that send mixed requests and compare each response with the request that it echoes."""

    def __init__(self, entries, service, callers=12, seed=1):
        self.entries = list(entries)
        self.service = service
        self.lock = threading.Lock()
        self.running = True
        self.counts = {"sent": 0, "whole": 0, "not_run": 0, "unknown": 0, "broken": 0, "wrong": 0}
        self.wrong = []
        self.not_run_ids = []
        self.plain_post_ids = []
        self.latencies = []
        self.threads = [threading.Thread(target=self._caller, args=(seed * 1000 + number,)) for number in range(callers)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def _count(self, **more):
        with self.lock:
            for name, number in more.items():
                self.counts[name] += number

    def _caller(self, seed):
        rng = random.Random(seed)
        connection, entry, number = None, None, 0
        while self.running:
            number += 1
            identity = f"{seed}-{number}"
            kind = rng.choice(["read", "keyed", "keyed", "plain"])
            method = "GET" if kind == "read" else "POST"
            path = f"/item/{rng.randrange(1000)}?n={number}"
            body = "" if method == "GET" else "x" * rng.choice([10, 1000, 20000]) + identity
            headers = {"Authorization": f"Bearer {CALLER_TOKEN}", "X-Request-Id": identity}
            if kind == "keyed":
                headers["Idempotency-Key"] = f"key-{identity}"
            if kind == "plain":
                with self.lock:
                    self.plain_post_ids.append(identity)
            self._count(sent=1)
            # Reads and requests with an idempotency key are retried. A plain POST is not idempotent and is sent once.
            for attempt in range(1 if kind == "plain" else 8):
                if connection is None:
                    entry = rng.choice(self.entries)
                    host, port = entry.rsplit(":", 1)
                    connection = http.client.HTTPConnection(host, int(port), timeout=15)
                started_at = time.monotonic()
                try:
                    connection.request(method, f"/services/{self.service}{path}", body or None, headers)
                    response = connection.getresponse()
                    text = response.read()
                except (OSError, http.client.HTTPException):
                    connection.close()
                    connection = None
                    outcome = "broken"
                else:
                    if response.getheader("Connection", "").lower() == "close":
                        connection.close()
                        connection = None
                    outcome = self._classify_response(response, text, method, path, body, identity)
                if outcome in ("whole", "wrong"):
                    with self.lock:
                        self.latencies.append(time.monotonic() - started_at)
                    break
                time.sleep(0.1 * (attempt + 1) * rng.random())
            if outcome == "not_run" and kind == "plain":
                with self.lock:
                    self.not_run_ids.append(identity)
            self._count(**{outcome: 1})
        if connection:
            connection.close()

    def _classify_response(self, response, text, method, path, body, identity):
        outcome = response.getheader("Heatherquay-Outcome", "")
        if outcome == "not-run":
            return "not_run"
        if outcome == "unknown":
            return "unknown"
        if response.status >= 500 and outcome == "ran":
            return "whole"
        try:
            echo = json.loads(text)
            own = (echo["method"], echo["path"], echo["body"], echo["id"])
            # The entry strips the /services/NAME prefix, so the endpoint echoes the path without it.
            if own == (method, path, body, identity) and response.status == 200 and outcome == "ran":
                return "whole"
            problem = str(own)[:200]
        except (ValueError, KeyError, TypeError):
            problem = text[:200].decode(errors="replace")
        with self.lock:
            self.wrong.append(f"{identity}: status {response.status}, outcome {outcome}: {problem}")
        return "wrong"
