"""The manifest allows longer bodies; clients use connections from before."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib"))
import fleet  # noqa: E402


LOW = 2000  # max_body_bytes at first
HIGH = 262144  # max_body_bytes of the site file
BODY = 10000  # bytes of a request that only the newer version allows
CLIENTS = 66  # 22 in each zone
ROUNDS = 3
IDLE_S = 5.0  # clients are idle for less than 0.8 of idle_timeout_ms (15 s)
CONFIG_APPLY_S = 3.0


class Client:
    """Keeps one connection open for many requests."""

    def __init__(self, record, host, number):
        self.record = record
        self.host = host
        self.number = number
        self.count = 0
        self.reader = None
        self.writer = None
        self.answers = []  # (time of sending, bytes, status)

    async def send(self, size):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.host.port)
        request_id = "%08x%08x" % (self.number, self.count)
        self.count += 1
        at = time.monotonic()
        self.record("client %d sends POST %s with %d bytes to %s" % (
            self.number, request_id, size, self.host.name))
        head = ("POST /issue/%d HTTP/1.1\r\nHost: orders.example\r\n"
                "Snipemill-Request-Id: %s\r\nSnipemill-Deadline-Ms: 2500\r\n"
                "Content-Length: %d\r\n\r\n" % (self.number, request_id, size))
        self.writer.write(head.encode() + b"x" * size)
        message = await fleet.read_message(self.reader)
        status = int(message[0].split(" ")[1]) if message else 0
        if not message or message[1].get("connection") == "close":
            self.writer.close()
            self.writer = None
        self.answers.append((at, size, status))
        self.record("client %d has %d to %s" % (self.number, status, request_id))


async def case(record, temp):
    store = fleet.Store(record)
    await store.start()
    runs = {}
    for i, zone in enumerate(["colombo-north", "colombo-north", "kelaniya-central",
                              "kelaniya-central", "gampaha-east"]):
        it = fleet.Upstream(record, runs, "billing-match", "i-%d" % i, zone,
                            slots=3, queue=12, work=0.02, seed=i)
        await it.start()
        store.put("servers", it.instance, it.document())
    version = 4
    raised = []

    def publish(max_body):
        nonlocal version
        version += 3
        doc = fleet.manifest(version, [fleet.route(
            "issue", "/issue/", "non_idempotent", 2500, 250, 2,
            backend="billing-match")], ["billing-match"])
        doc["limits"]["max_body_bytes"] = max_body
        store.put("config", "main", doc)
        record("version %d is confirmed: bodies of %d bytes" % (version, max_body))

    publish(LOW if fleet.TROUBLE else HIGH)
    hosts = [fleet.Host(record, temp, i, zone, store.port)
             for i, zone in enumerate(fleet.ZONES)]
    clients = [Client(record, hosts[i % len(hosts)], i) for i in range(CLIENTS)]
    try:
        if not await fleet.start_hosts(record, hosts):
            return 2
        await asyncio.sleep(5)
        for _ in range(ROUNDS):
            for it in clients:  # on a connection that stays open
                await it.send(300)
            if fleet.TROUBLE:
                publish(HIGH)
            raised.append(time.monotonic())
            await asyncio.sleep(IDLE_S)
            for it in clients:
                await it.send(BODY)
            for _ in range(4):
                for it in clients:
                    await it.send(300)
            if fleet.TROUBLE:
                publish(LOW)
            await asyncio.sleep(IDLE_S)
    finally:
        for it in hosts:
            await it.end()
    answers = [answer for it in clients for answer in it.answers]
    denied = [it for it in answers if 300 <= it[2] < 500 and it[2] not in (408, 421, 429)]
    assert all(it[0] > max(t for t in raised if t < it[0]) + CONFIG_APPLY_S for it in denied)
    allowed = 5 + len(answers) / 500
    statuses = {}
    for it in answers:
        statuses[it[2]] = statuses.get(it[2], 0) + 1
    summary = "requests %d, answers %s, DENIED %d, allowed %.1f" % (
        len(answers), statuses, len(denied), allowed)
    record(summary)
    print(summary)
    return 1 if len(denied) > allowed else 0


fleet.main(HERE, case)
