"""Watches accept stale data, so changes in the store are seen late."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import fleet  # noqa: E402

STALE_S = 4.0  # stale data is "seconds old"
RATE = 60  # requests/s of clients
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
ROUNDS = 5
ROUND_S = 14.0


async def case(record, temp):
    store = fleet.Store(record)
    await store.start()
    store.stale_lag = STALE_S if fleet.TROUBLE else 0.0
    runs = {}

    async def add_server(service, instance, zone):
        it = fleet.Upstream(record, runs, service, instance, zone, slots=3,
                            queue=12, work=0.02)
        await it.start()
        store.put("servers", instance, it.document())
        return it

    kept = []
    for service in ("billing-match", "contractor-gate"):
        for i, zone in enumerate(["colombo-north", "kelaniya-central", "gampaha-east"]):
            kept.append(await add_server(service, "%s-%d" % (service, i), zone))
    leaver = await add_server("billing-match", "leaver-0", "colombo-north")
    version = 7
    changes = []  # (confirmed, service of the route)
    drains = []  # (confirmed, server)

    def publish(service):
        store.put("config", "main", fleet.manifest(version, [fleet.route(
            "order-fetch", "/order/", "idempotent", 2500, 250, 2, backend=service)],
            ["billing-match", "contractor-gate"]))
        changes.append((time.monotonic(), service))
        record("version %d is confirmed: /order/ goes to %s" % (version, service))

    publish("billing-match")
    hosts = [fleet.Host(record, temp, i, zone, store.port)
             for i, zone in enumerate(fleet.ZONES)]
    clients = fleet.Clients(record, hosts)

    async def operate():
        nonlocal version, leaver
        for n in range(ROUNDS):
            await asyncio.sleep(ROUND_S / 2)
            if n % 2 == 0:
                # A planned stop of a server.
                store.put("servers", leaver.instance, leaver.document("draining"))
                drains.append((time.monotonic(), leaver))
                record("%s is draining, confirmed" % leaver.instance)
            await asyncio.sleep(ROUND_S / 2)
            version += 3
            publish("contractor-gate" if n % 2 == 0 else "billing-match")
            if n % 2 == 0:
                leaver = await add_server("billing-match", "leaver-%d" % (n + 1),
                                          "colombo-north")

    try:
        if not await fleet.start_hosts(record, hosts):
            return 2
        # All machines are in touch, and have read what was written at first.
        await asyncio.sleep(STALE_S + 2)
        operator = asyncio.create_task(operate())
        start = time.monotonic()
        while not operator.done() or time.monotonic() < changes[-1][0] + 8:
            clients.send("GET", "/order/#")
            await fleet.pace(start, clients.number, RATE)
        await operator
        await clients.done()
    finally:
        for it in hosts:
            await it.end()
    old = set()
    drained = set()
    for request_id, of in runs.items():
        at = clients.sent[request_id]
        confirmed, service = [it for it in changes if it[0] <= at][-1]
        for run in of:
            newer = {s for t, s in changes if at < t <= run.at}
            if at > confirmed + CONFIG_APPLY_S and run.server.service not in newer | {service}:
                old.add(request_id)
                record("CONFIG: %s, sent %.2f s after the confirmation, ran at %s" % (
                    request_id, at - confirmed, run.server.instance))
            for t, server in drains:
                if run.server is server and at > t + DRAIN_S:
                    drained.add(request_id)
                    record("DRAIN: %s reached %s, sent %.2f s after it was draining" % (
                        request_id, server.instance, at - t))
    summary = "requests %d, answers %s, CONFIG %d, DRAIN %d" % (
        clients.number, clients.statuses(), len(old), len(drained))
    record(summary)
    print(summary)
    return 1 if old or drained else 0


fleet.main(HERE, case)
