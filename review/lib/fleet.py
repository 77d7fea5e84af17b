"""Stand-ins for the review's scripts: the platform's store, servers, clients
and the settings of a host. Everything listens on loopback."""
import asyncio
import hashlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "snipemill")
TEMPLATE = os.path.join(ROOT, "platform", "settings.yaml.tmpl")

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (time.monotonic() - self.start, text))

    def close(self):
        self.file.close()


# Ports of hosts lie below the range that the system uses for outgoing
# connections, which could otherwise take the port of a host.
_next_port = [10000 + os.getpid() * 100 % 20000]


def free_port():
    while True:
        _next_port[0] = 10000 + (_next_port[0] - 9999) % 20000
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", _next_port[0]))
                return _next_port[0]
            except OSError:
                pass


async def read_message(reader):
    """Returns (first line, headers with lower-case names, body) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def write_response(status, headers, body=b""):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


class Server:
    """A TCP server that runs serve(reader, writer) for each connection."""

    def __init__(self):
        self.port = 0
        self.listener = None
        self.writers = set()

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.run, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def run(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the server as a process that was killed."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store. Objects by kind and name, one revision, listings,
    watches. With stale_lag, calls that accept stale data see the store as it
    was that many seconds ago."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.objects = {}  # kind -> name -> object
        self.events = []  # (revision, time, kind, event)
        self.changed = asyncio.Event()
        self.stale_lag = 0.0
        self.calls = 0

    def put(self, kind, name, spec):
        self.revision += 1
        it = {"meta": {"name": name, "revision": self.revision, "created": 1,
                       "finalizers": [], "deleting": False},
              "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = it
        self._event(kind, it, False)

    def remove(self, kind, name):
        it = self.objects.get(kind, {}).pop(name, None)
        if it:
            self.revision += 1
            self._event(kind, it, True)

    def _event(self, kind, it, deleted):
        self.events.append((self.revision, time.monotonic(), kind,
                            {"deleted": deleted, "object": it}))
        self.changed.set()
        self.changed = asyncio.Event()

    def _visible(self, stale):
        """The revision that a call sees."""
        if not stale or self.stale_lag <= 0:
            return self.revision
        limit = time.monotonic() - self.stale_lag
        out = 1
        for revision, at, _, _ in self.events:
            if at <= limit:
                out = revision
        return out

    def _objects_at(self, kind, revision):
        out = {}
        for at, _, of, event in self.events:
            if of == kind and at <= revision:
                name = event["object"]["meta"]["name"]
                if event["deleted"]:
                    out.pop(name, None)
                else:
                    out[name] = event["object"]
        return out

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if not message:
                return
            self.calls += 1
            status, body = await self.answer(*message)
            writer.write(write_response(
                status, [("Content-Type", "application/json")],
                json.dumps(body).encode()))
            await writer.drain()

    async def answer(self, line, headers, body):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(it) for it in url.path.split("/")[3:]]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        await asyncio.sleep(0.004)
        if method == "GET":
            stale = query.get("stale_ok") == "1"
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]),
                                        int(query.get("wait_ms", "0")) / 1000, stale)
            revision = self._visible(stale)
            objects = self._objects_at(kind, revision)
            if name:
                return (200, objects[name]) if name in objects else (404, {})
            items = [objects[it] for it in sorted(objects) if it > query.get("after", "")]
            return 200, {"items": items[:500], "truncated": len(items) > 500,
                         "store_revision": revision}
        spec = json.loads(body or b"{}")
        if method == "POST":
            name = spec["meta"]["name"]
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            self.put(kind, name, spec.get("spec"))
            return 201, self.objects[kind][name]
        if name not in self.objects.get(kind, {}):
            return 404, {}
        if method == "PUT":
            self.put(kind, name, spec.get("spec"))
            return 200, self.objects[kind][name]
        self.remove(kind, name)
        return 200, {}

    async def watch(self, kind, revision, wait, stale):
        end = time.monotonic() + wait
        while True:
            visible = self._visible(stale)
            events = [event for at, _, of, event in self.events
                      if of == kind and revision < at <= visible]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": max(revision, visible)}
            step = left
            if stale and self.stale_lag > 0:
                step = min(left, 0.05)
            try:
                await asyncio.wait_for(self.changed.wait(), step)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, server, method, target, body):
        self.server = server
        self.method = method
        self.target = target
        self.body = body
        self.at = time.monotonic()


class Upstream(Server):
    """A server of a service as the pages describe it: slots, a short queue,
    rejections that say so, instance check, echo of the request's id."""

    def __init__(self, record, runs, service, instance, zone, slots=2, queue=2,
                 work=0.01, seed=0):
        super().__init__()
        self.record = record
        self.runs = runs  # id -> list of Run
        self.service = service
        self.instance = instance
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work = work
        self.random = random.Random(seed)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.extra_late = 0.0  # share of answers of which a second copy comes late
        self.copies = 0
        self.health_path = "/health"

    def document(self, state="ready"):
        return {"backend": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "max_concurrency": self.slots,
                "state": state, "warmup_left_ms": 0, "sequence": 1,
                "born": int(time.time() * 1000) - 60000}

    async def serve(self, reader, writer):
        late = None  # a second copy of the last answer of this connection
        while True:
            message = await read_message(reader)
            if not message:
                return
            line, headers, body = message
            if late:
                # Where the answer to this request is expected.
                self.copies += 1
                self.record("%s sends a late second copy of its last answer: %s" % (
                    self.instance, late.split(b"\r\n")[0].decode()))
                writer.write(late)
                await writer.drain()
                late = None
            status, out, payload = await self.answer(line, headers, body)
            request_id = headers.get("snipemill-request-id", "")
            text = write_response(status, out + [("Snipemill-Request-Id", request_id)],
                                  payload)
            writer.write(text)
            await writer.drain()
            if self.random.random() < self.extra_late:
                late = text

    def stamp(self, request_id):
        return "%s.%s" % (self.instance, hashlib.sha1(
            (self.instance + request_id).encode()).hexdigest()[:12])

    async def answer(self, line, headers, body):
        method, target, _ = line.split(" ")
        request_id = headers.get("snipemill-request-id", "")
        expected = headers.get("snipemill-expect-instance", self.instance)
        if expected != self.instance:
            return 421, [("Snipemill-Instance-Id", self.instance)], b""
        load = [("Snipemill-Server-Load", "%d,%d,%d" % (self.running, self.waiting, self.slots))]
        end = time.monotonic() + int(headers.get("snipemill-deadline-ms", "30000")) / 1000
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                self.record("%s rejects %s: 503, not executed" % (self.instance, request_id))
                return 503, load + [("Snipemill-Not-Executed", "1")], b""
            self.waiting += 1
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            if time.monotonic() > end:
                return 503, load + [("Snipemill-Not-Executed", "1")], b""
        self.running += 1
        self.runs.setdefault(request_id, []).append(Run(self, method, target, body))
        self.record("%s runs %s (run %d of it)" % (
            self.instance, request_id, len(self.runs[request_id])))
        try:
            await asyncio.sleep(self.work * self.random.uniform(0.7, 1.3))
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()
        return 200, load + [("Snipemill-Server-Stamp", self.stamp(request_id))], b"done"


def render(text, values):
    """Fills in the plain placeholders of a settings template."""

    def value(match):
        out = values
        for key in match.group(1).split("."):
            out = out[int(key)] if isinstance(out, list) else out[key]
        return str(out)

    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", value, text)


# Zones of the machines of kmwb-lagging.
ZONES = ["colombo-north"] * 3 + ["kelaniya-central"] + ["gampaha-east"] * 2

BOUNDS = {"drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000,
          "evacuate_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "budget_slack": 52}


class Host:
    """An entry host, started with the command of the deploy file."""

    def __init__(self, record, folder, number, zone, store_port, bounds=BOUNDS):
        self.record = record
        self.name = "frontend-%s-%d" % (zone, number)
        self.port, self.ready_port, first, second = (free_port() for _ in range(4))
        values = {"node_name": self.name, "zone": zone, "ip": "127.0.0.1",
                  "limits": {"cpu_share": 0.25},
                  "listen_addrs": {"frontend": "127.0.0.1:%d" % self.port,
                                   "ready": "127.0.0.1:%d" % self.ready_port},
                  "internal_ports": [first, second],
                  "platform": {"address": "127.0.0.1:%d" % store_port, "retention_s": 20},
                  "bounds": bounds}
        self.settings = os.path.join(folder, self.name + ".yaml")
        with open(TEMPLATE) as template, open(self.settings, "w") as out:
            out.write(render(template.read(), values))
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "forward", "--config", self.settings, cwd=ROOT,
            stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "SNIPEMILL_SETTINGS": self.settings})

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return bool(message) and " 200" in message[0]

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()


async def start_hosts(record, hosts, limit=25):
    """Starts the hosts. Returns whether all of them have become ready."""
    for it in hosts:
        await it.start()
    for it in hosts:
        if not await it.wait_ready(limit):
            record("%s is not ready" % it.name)
            return False
    return True


class Clients:
    """Clients that each send one request on a connection of its own."""

    def __init__(self, record, hosts):
        self.record = record
        self.hosts = hosts
        self.number = 0
        self.tasks = []
        self.sent = {}  # id -> time
        self.answers = {}  # id -> Answer

    def send(self, method, path, host=None, body=b"", deadline_ms=2500):
        """Begins a client attempt. "#" in the path stands for its number."""
        it = self.hosts[self.number % len(self.hosts)] if host is None else host
        request_id = "%016x" % (0xABC000000 + self.number)
        path = path.replace("#", str(self.number))
        self.number += 1
        self.tasks.append(asyncio.create_task(
            self._send(it, method, path, request_id, body, deadline_ms)))
        return request_id

    async def _send(self, host, method, path, request_id, body, deadline_ms):
        self.record("client sends %s %s as %s to %s" % (method, path, request_id, host.name))
        self.sent[request_id] = time.monotonic()
        it = await request(host.port, "orders.example", method, path, request_id,
                           deadline_ms, body)
        self.answers[request_id] = it
        self.record("client has %d to %s" % (it.status, request_id))

    async def done(self):
        await asyncio.gather(*self.tasks)

    def statuses(self):
        out = {}
        for it in self.answers.values():
            out[it.status] = out.get(it.status, 0) + 1
        return out


async def pace(start, count, rate):
    """Waits until it is time for request number `count` at `rate` requests/s."""
    await asyncio.sleep(max(0, start + count / rate - time.monotonic()))


class Answer:
    def __init__(self, status, headers, body):
        self.status = status  # 0: the connection ended without an answer
        self.headers = headers
        self.body = body


async def request(port, host, method, path, request_id, deadline_ms, body=b"",
                  extra=()):
    """One client attempt on a new connection."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return Answer(0, {}, b"")
    text = "%s %s HTTP/1.1\r\nHost: %s\r\nSnipemill-Request-Id: %s\r\n" % (
        method, path, host, request_id)
    text += "Snipemill-Deadline-Ms: %d\r\n" % deadline_ms
    for name, value in extra:
        text += "%s: %s\r\n" % (name, value)
    if body or method != "GET":
        text += "Content-Length: %d\r\n" % len(body)
    writer.write(text.encode() + b"\r\n" + body)
    try:
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 1)
    except (asyncio.TimeoutError, ConnectionError):
        message = None
    writer.close()
    if not message:
        return Answer(0, {}, b"")
    return Answer(int(message[0].split(" ")[1]), message[1], message[2])


def route(name, prefix, kind, timeout_ms, target_ms, attempts, **target):
    return {"name": name, "host": "orders.example", "path_prefix": prefix,
            "type": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": 1, "attempts": attempts, **target}


def manifest(version, routes, services, max_conns=96):
    return {"version": version, "routes": routes,
            "services": [{"name": it, "health_path": "/health", "max_conns": max_conns,
                          "protocol": "h1", "tls": False, "warmup_s": 3.0,
                          "warmup_per_s": 0.0} for it in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 10000, "idle_timeout_ms": 15000}}


def main(folder, case):
    """Runs case(record, folder) and ends with its exit code."""
    if not os.access(PROGRAM, os.X_OK):
        print("target/snipemill is not built")
        sys.exit(2)
    # Ended from outside, the script still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temp:
        try:
            code = asyncio.run(case(record, temp))
        except (Exception, KeyboardInterrupt) as error:  # the case could not run
            record("could not run: %r" % error)
            print("could not run: %r" % error)
            code = 2
    record.close()
    sys.stdout.flush()
    os._exit(code)  # connections of an ended loop need no farewell
