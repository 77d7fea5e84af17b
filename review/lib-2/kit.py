"""Parts that the scripts of cases 6 to 10 share: a stand-in of the platform's
store, stand-ins of servers, clients, and the system's own processes.

Everything runs on loopback addresses and free ports. The store has one port
for each host, as if each host were served by a replica of its own, so that the
age of outdated reads can be set for each of them.
"""
import asyncio
import collections
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "snipemill"
IP = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# Below the usual range of the ports of outgoing connections.
FIRST_PORT, LAST_PORT = 12_000, 31_999


def free_port():
    """A port that is free for TCP and UDP at this moment."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in free_port.given:
            continue
        with socket.socket() as tcp, socket.socket(
                type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((IP, port))
                udp.bind((IP, port))
            except OSError:
                continue
            free_port.given.add(port)
            return port


free_port.given = set()


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def line(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.begin:9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# HTTP ------------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name):
        return self.headers.get(name, "")


async def read_message(reader, head=False):
    """Reads a request or a response; None when the connection has ended before
    its first byte. IncompleteReadError when it ends inside."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if not e.partial:
            return None
        raise
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        name, _, value = it.partition(":")
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers and not head:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def write_response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# The platform's store -----------------------------------------------------------


class Store:
    """Objects by kind and name with one revision counter, listings and watches.
    A call with stale_ok=1 sees the store as it was `lag` seconds ago."""

    ANSWER_S = 0.004
    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.history = []  # revision, time, kind, name, deleted, object
        self.objects = collections.defaultdict(dict)
        self.changed = asyncio.Event()
        self.servers = []

    def change(self, kind, name, spec, status=None):
        """Writes an object and returns the time of the confirmation."""
        known = self.objects[kind].get(name)
        if known and known["spec"] == spec and known.get("status") == status:
            return time.monotonic()
        self.revision += 1
        made = known["meta"]["created"] if known else self.revision
        it = {"meta": {"name": name, "revision": self.revision,
                       "created": made, "finalizers": [], "deleting": False},
              "spec": spec}
        if status is not None:
            it["status"] = status
        self.objects[kind][name] = it
        return self.append(kind, name, False, it)

    def remove(self, kind, name):
        it = self.objects[kind].pop(name, None)
        if not it:
            return None
        self.revision += 1
        return self.append(kind, name, True, it)

    def append(self, kind, name, deleted, it):
        now = time.monotonic()
        self.history.append((self.revision, now, kind, name, deleted, it))
        self.wake()
        return now

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def visible(self, lag):
        if lag <= 0:
            return self.revision
        limit = time.monotonic() - lag
        out = 10
        for it in self.history:
            if it[1] > limit:
                break
            out = it[0]
        return out

    def listing(self, kind, revision):
        out = {}
        for it in self.history:
            if it[0] > revision:
                break
            if it[2] != kind:
                continue
            if it[4]:
                out.pop(it[3], None)
            else:
                out[it[3]] = it[5]
        return out

    def events(self, kind, after, last):
        return [{"object": it[5], "deleted": it[4]} for it in self.history
                if it[2] == kind and after < it[0] <= last]

    async def open(self, port):
        """Serves one replica on the port."""
        replica = Replica(self, port)
        self.servers.append(replica)
        await replica.start()
        return replica


class Replica:
    def __init__(self, store, port):
        self.store, self.port = store, port
        self.lag = 0.0  # s, age of outdated reads
        self.away = False  # accepts connections and answers nothing
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                status, body = await self.answer(message)
                if self.away:
                    await asyncio.sleep(3600)
                text = json.dumps(body).encode()
                writer.write(write_response(
                    status, [("Content-Type", "application/json")], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message):
        await asyncio.sleep(Store.ANSWER_S)
        if self.away:
            return 503, {}
        store = self.store
        method, target, _ = message.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        lag = self.lag if query.get("stale_ok") == "1" else 0
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]),
                                         int(query.get("wait_ms", 0)), lag)
        if method == "GET":
            seen = store.visible(lag)
            items = store.listing(kind, seen)
            if name:
                return (200, items[name]) if name in items else (404, {})
            names = sorted(it for it in items if it > query.get("after", ""))
            return 200, {"items": [items[it] for it in names[:Store.PAGE]],
                         "truncated": len(names) > Store.PAGE,
                         "store_revision": seen}
        if method == "DELETE":
            done = store.remove(kind, name)
            return (200, {}) if done else (404, {})
        it = json.loads(message.body)
        name = name or it["meta"]["name"]
        known = store.objects[kind].get(name)
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {}
        wanted = it.get("meta", {}).get("revision")
        if known and wanted and wanted != known["meta"]["revision"]:
            return 409, known
        store.change(kind, name, it.get("spec", {}))
        return (201 if method == "POST" else 200), store.objects[kind][name]

    async def watch(self, kind, after, wait_ms, lag):
        store = self.store
        end = time.monotonic() + wait_ms / 1000
        while True:
            seen = store.visible(lag)
            events = store.events(kind, after, seen)
            now = time.monotonic()
            if events or now >= end:
                return {"events": events, "store_revision": max(seen, after)}
            wait = min(end - now, 0.02 if lag > 0 else 1)
            try:
                await asyncio.wait_for(store.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass


# Servers -----------------------------------------------------------------------


class Server:
    """A server with slots and a queue. Keeps the arrivals and the runs."""

    def __init__(self, kit, service, instance, zone, slots=3, work_s=0.02,
                 queue=12):
        self.kit, self.service, self.instance = kit, service, instance
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.queue = queue
        self.port = free_port()
        self.arrivals = []  # (time, request id)
        self.cut = []  # ids that were being worked on when it ended
        self.waiting = 0
        self.working = {}
        self.free = asyncio.Semaphore(slots)
        self.tasks = set()
        self.server = None
        self.born = int(time.time() * 1000)
        self.number = 0

    async def start(self):
        self.server = await asyncio.start_server(self.accept, IP, self.port)
        self.register("ready")

    def register(self, state):
        return self.kit.store.change("servers", self.instance, {
            "backend": self.service, "address": f"{IP}:{self.port}",
            "zone": self.zone, "version": "v1", "max_concurrency": self.slots,
            "state": state, "warmup_left_ms": 0, "sequence": 1,
            "born": self.born})

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                writer.write(await self.run(message))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def run(self, message):
        now = time.monotonic()
        rid = message.get("snipemill-request-id")
        echo = [("Snipemill-Request-Id", rid)]
        if message.first.split(" ")[1] == "/health":
            return write_response(
                200, [("Snipemill-Instance-Id", self.instance)])
        refused = echo + [("Snipemill-Not-Executed", "1")]
        expected = message.get("snipemill-expect-instance")
        if expected and expected != self.instance:
            return write_response(421, refused)
        self.arrivals.append((now, rid))
        if self.waiting >= self.queue:
            return write_response(503, refused)
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        try:
            self.kit.ran(self, rid, message, now)
            self.working[rid] = now
            await asyncio.sleep(self.work_s)
            self.number += 1
            stamp = f"{self.instance}.{self.number}"
            load = f"{len(self.working)},{self.waiting},{self.slots}"
            return write_response(200, echo + [
                ("Snipemill-Server-Stamp", stamp),
                ("Snipemill-Server-Load", load)], rid.encode() * 2)
        finally:
            self.working.pop(rid, None)
            self.free.release()

    async def end(self):
        """Exits: the listener and all connections are gone."""
        self.cut = list(self.working)
        self.server.close()
        for it in list(self.tasks):
            it.cancel()
        await asyncio.sleep(0)


# The system's own processes --------------------------------------------------------


class Host:
    """A process of the deploy file's role, with settings of its own."""

    def __init__(self, kit, name, zone, extra=""):
        self.kit, self.name, self.zone, self.extra = kit, name, zone, extra
        self.callers, self.ready = free_port(), free_port()
        self.metrics, self.relay = free_port(), free_port()
        self.store_port = free_port()
        self.replica = None
        self.process = None
        self.log = None

    async def start(self):
        if not self.replica:
            self.replica = await self.kit.store.open(self.store_port)
        self.write_settings()
        self.log = open(self.kit.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "forward", "--config", str(self.settings)],
            cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL)
        self.kit.processes.append(self.process)
        self.kit.record.line(f"host {self.name} started")

    @property
    def settings(self):
        return self.kit.folder / f"{self.name}.yaml"

    # The result of platform/settings.yaml.tmpl for a small deployment.
    def write_settings(self):
        bounds = self.kit.bounds
        self.settings.write_text(f"""host:
  name: "{self.name}"
  data_centre: "{self.zone}"
  cores: 0.25
  memory_mb: 260
listen:
  callers: "{IP}:{self.callers}"
  readiness: "{IP}:{self.ready}"
  metrics: "{IP}:{self.metrics}"
  relay: "{IP}:{self.relay}"
store:
  address: "{IP}:{self.store_port}"
  history_s: 20
repeats:
  ratio: 0.2
  fleet_slack: 52
  window_s: 10
{self.extra}bounds:
  leave_within_ms: {bounds['drain_ms']}
  change_within_ms: {bounds['config_apply_ms']}
  evacuate_within_ms: {bounds['evacuate_ms']}
  stop_within_s: {bounds['grace_s']}
""", encoding="utf-8")

    def signal(self, number):
        self.kit.record.line(f"host {self.name} gets signal {number}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(IP, self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message.first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def log_text(self):
        return (self.kit.folder / f"{self.name}.log").read_text("utf-8",
                                                                "replace")


# Clients -----------------------------------------------------------------------


class Client:
    """Requests to one host over kept connections, one request at a time on
    each."""

    def __init__(self, kit, host):
        self.kit, self.host = kit, host
        self.idle = []

    async def send(self, method, path, rid, deadline_ms, headers=(), body=b""):
        """Returns (status, headers, body); status 0 when the connection ended
        without an answer, -1 when none could be opened."""
        try:
            kept = self.take()
            reader, writer = kept or await asyncio.wait_for(
                asyncio.open_connection(IP, self.host.callers), 1)
        except (OSError, asyncio.TimeoutError):
            return -1, {}, b""
        lines = [f"{method} {path} HTTP/1.1", "Host: case.example",
                 f"Snipemill-Request-Id: {rid}",
                 f"Snipemill-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await asyncio.wait_for(read_message(reader),
                                             deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            message = None
        if message is None:
            writer.close()
            return 0, {}, b""
        if message.get("connection").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        return int(message.first.split(" ")[1]), message.headers, message.body

    def take(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return None


class Kit:
    """One deployment in a temporary folder."""

    bounds = {"drain_ms": 3000, "config_apply_ms": 3000, "evacuate_ms": 5000,
              "grace_s": 6}

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.hosts = []
        self.processes = []  # all that were started
        self.runs = []  # (time of arrival, request id, server)
        self.numbers = 0
        self.tasks = set()

    def ran(self, server, rid, message, at):
        self.runs.append((at, rid, server))
        self.record.line(f"run {rid} at {server.instance}: {message.first}",
                         at)

    def new_id(self):
        self.numbers += 1
        return f"{random.getrandbits(32):08x}{self.numbers:08x}"

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def wait_ready(self, hosts, limit_s=15):
        end = time.monotonic() + limit_s
        for it in hosts:
            while not await it.is_ready():
                if time.monotonic() > end or not it.running():
                    raise RuntimeError(f"{it.name} did not become ready")
                await asyncio.sleep(0.05)

    def close(self):
        for it in self.processes:
            if it.poll() is None:
                it.kill()
            it.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs case(kit), which returns whether the rule was broken."""
    record = Record(pathlib.Path(folder) / "record.txt")
    if not PROGRAM.exists():
        print("target/snipemill is missing: build the deploy file first")
        sys.exit(COULD_NOT_RUN)

    async def run():
        kit = Kit(record)
        try:
            return await asyncio.wait_for(case(kit), 110)
        finally:
            for it in list(kit.tasks):
                it.cancel()
            kit.close()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = asyncio.run(run())
    except Exception as e:  # the case could not run; the reason is told
        record.say(f"could not run: {type(e).__name__} {e}")
        record.file.close()
        sys.exit(COULD_NOT_RUN)
    record.say("the rule was broken" if broken else "the rule held")
    record.file.close()
    sys.exit(BROKEN if broken else HELD)
