"""All servers of a service crash while many callers send the same query."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib"))
import fleet  # noqa: E402

CRASH_AT = 8.0
DOWN_S = 4.5  # for_s of srv_crash "all"
LAPSE_S = 3.6  # three status report intervals of 1.2 s
SECONDS = 85
RATE = 170  # requests/s of clients, half of them for /live/
NEEDED_RATIO = 0.25  # of the share of all requests that is served


async def case(record, temp):
    store = fleet.Store(record)
    await store.start()
    runs = {}
    servers = []
    for i, zone in enumerate(["colombo-north", "colombo-north", "kelaniya-central",
                              "kelaniya-central", "gampaha-east"]):
        it = fleet.Upstream(record, runs, "billing-match", "i-%d" % i, zone,
                            slots=3, queue=12, work=0.06, seed=i)
        await it.start()
        servers.append(it)
        store.put("servers", it.instance, it.document())
    store.put("config", "main", fleet.manifest(7, [
        fleet.route("live", "/live/", "idempotent", 2500, 250, 2, backend="billing-match"),
        fleet.route("fetch", "/fetch/", "idempotent", 2500, 250, 2,
                    backend="billing-match")], ["billing-match"]))
    hosts = [fleet.Host(record, temp, i, zone, store.port)
             for i, zone in enumerate(fleet.ZONES)]
    clients = fleet.Clients(record, hosts)
    kinds = {"live": [], "fetch": []}  # ids

    async def crash():
        await asyncio.sleep(CRASH_AT)
        record("all servers of billing-match crash")
        for it in servers:
            it.stop()
        await asyncio.sleep(LAPSE_S)
        for it in servers:
            store.remove("servers", it.instance)
        await asyncio.sleep(DOWN_S - LAPSE_S)
        for i, it in enumerate(servers):
            it.instance = "j-%d" % i
            it.running = it.waiting = 0
            await it.start(it.port)
            store.put("servers", it.instance, it.document())
        record("all servers of billing-match are back")

    disruption = None
    try:
        if not await fleet.start_hosts(record, hosts):
            return 2
        await asyncio.sleep(1)
        if fleet.TROUBLE:
            disruption = asyncio.create_task(crash())
        start = time.monotonic()
        while time.monotonic() < start + SECONDS:
            host = hosts[clients.number // 2 % len(hosts)]
            if clients.number % 2 == 0:
                kinds["live"].append(clients.send("GET", "/live/heat-7", host))
            else:
                kinds["fetch"].append(clients.send("GET", "/fetch/#", host))
            await fleet.pace(start, clients.number, RATE)
        await clients.done()
    finally:
        if disruption:
            disruption.cancel()
        for it in hosts:
            await it.end()

    def served(ids):
        return sum(clients.answers[it].status == 200 for it in ids) / len(ids)

    share = {kind: served(ids) for kind, ids in kinds.items()}
    total = served(list(clients.answers))
    last = clients.answers[kinds["live"][-1]]
    record("last answer to /live/heat-7: %d, Retry-After %s, %s" % (
        last.status, last.headers.get("retry-after"), last.body.decode("latin-1")))
    summary = "served: live %.3f, fetch %.3f, all %.3f; last answer to live: %d, Retry-After %s" % (
        share["live"], share["fetch"], total, last.status, last.headers.get("retry-after"))
    record(summary)
    print(summary)
    return 1 if any(it < NEEDED_RATIO * total for it in share.values()) else 0


fleet.main(HERE, case)
