"""Servers of one service are replaced one after the other, without a word of
`draining`: their entries are removed, and they serve on for drain_ms and a
little longer. Reads of the store that accept outdated data are 3 s old."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit as k

OUTDATED_S = 3.0  # of calls with stale_ok=1
ZONES = ["colombo-north", "kelaniya-central", "gampaha-east"]
REPLACED = 6  # of 12 servers
GAP_S = 1.35  # between two of them
LONGER_S = 0.3  # for which a server serves on after drain_ms
PER_S = 300  # requests
WORK_S = 0.12  # of one request at a server
SLOTS = 6


async def load(kit, clients, answers, stop):
    """Sends requests at a steady rate to all hosts in turn; three of four may
    run once only."""
    n = 0
    begin = time.monotonic()
    while not stop.is_set():
        once = n % 4 != 3
        client = clients[(n // 4) % len(clients)]
        kit.spawn(request(kit, client, once, answers))
        n += 1
        await asyncio.sleep(max(0, begin + n / PER_S - time.monotonic()))


async def request(kit, client, once, answers):
    rid = kit.new_id()
    sent = time.monotonic()
    kit.record.line(f"send {rid} {'POST' if once else 'GET'} "
                    f"to {client.host.name}", sent)
    status, _, _ = await client.send("POST" if once else "GET",
                                     f"/{'once' if once else 'any'}/{rid}",
                                     rid, 2500, body=b"x" if once else b"")
    answers[rid] = (sent, status, once)
    kit.record.line(f"answer {rid} {status}")


async def leave(kit, server, leaves):
    """Its entry is removed; it ends drain_ms and a little longer after."""
    confirmed = kit.store.remove("servers", server.instance)
    leaves[server.instance] = confirmed
    kit.record.line(f"entry of {server.instance} removed, confirmed",
                    confirmed)
    await asyncio.sleep(kit.bounds["drain_ms"] / 1000 + LONGER_S)
    await server.end()
    kit.record.line(f"server {server.instance} has ended; was at work on "
                    f"{len(server.cut)}")


async def case(kit):
    kit.store.change("config", "main", {
        "version": 3,
        "routes": [
            {"name": "any", "host": "case.example", "path_prefix": "/any/",
             "type": "idempotent", "timeout_ms": 2500,
             "target_latency_ms": 250, "attempts": 2, "priority": 2,
             "backend": "billing-match"},
            {"name": "once", "host": "case.example", "path_prefix": "/once/",
             "type": "non_idempotent", "timeout_ms": 2500,
             "target_latency_ms": 250, "attempts": 2, "priority": 2,
             "backend": "billing-match"}],
        "services": [{"name": "billing-match", "health_path": "/health",
                      "max_conns": 96}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    servers = [k.Server(kit, "billing-match", f"i-{n}", ZONES[n % 3],
                        slots=SLOTS, work_s=WORK_S) for n in range(12)]
    for it in servers:
        await it.start()
    kit.hosts = [k.Host(kit, f"frontend-{ZONES[n % 3]}-{n // 3 + 1}",
                        ZONES[n % 3]) for n in range(6)]
    for it in kit.hosts:
        await it.start()
        it.replica.lag = OUTDATED_S if k.trouble() else 0
    await kit.wait_ready(kit.hosts)
    clients = [k.Client(kit, it) for it in kit.hosts]
    answers, leaves, stop = {}, {}, asyncio.Event()
    kit.spawn(load(kit, clients, answers, stop))
    await asyncio.sleep(10)  # steady state: twice stability_ms and more

    departures = []
    for n in range(REPLACED):
        new = k.Server(kit, "billing-match", f"i-{12 + n}", servers[n].zone,
                       slots=SLOTS, work_s=WORK_S)
        await new.start()
        departures.append(kit.spawn(leave(kit, servers[n], leaves)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*departures)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.sleep(3)

    drain_s = kit.bounds["drain_ms"] / 1000
    late = []
    for server in servers[:REPLACED]:
        at = leaves[server.instance]
        after = [t - at for t, _ in server.arrivals if t > at + drain_s]
        late += after
        lost = [rid for rid in server.cut
                if answers.get(rid, (0, 0, 0))[2] and answers[rid][1] != 200]
        last = max(t for t, _ in server.arrivals) - at
        kit.record.say(
            f"{server.instance}: {len(after)} requests later than drain_ms "
            f"after the confirmation, the last {last:.3f} s after it; "
            f"{len(server.cut)} in work at its end, of them {len(lost)} that "
            f"may run once and were not answered with success")
    codes = {}
    for _, status, _ in answers.values():
        codes[status] = codes.get(status, 0) + 1
    kit.record.say(f"answers by status: {codes}")
    return bool(late)


k.main(pathlib.Path(__file__).parent, case)
