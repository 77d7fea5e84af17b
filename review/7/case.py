"""All servers of one service crash while they run requests, and are back after
4.5 s. The requests have one path, as those of many callers who look at the same
page have. The route was added by a later manifest."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import kit as k

ZONES = ["colombo-north", "kelaniya-central", "gampaha-east"]
DOWN_S = 4.5
STABILITY_S = 4.0
WATCHED_S = 40  # steady state after the servers are back
PER_S = 30  # requests on each of the two routes
WORK_S = 0.12


def publish(kit, version, routes):
    kit.store.change("config", "main", {
        "version": version,
        "routes": [
            {"name": name, "host": "case.example", "path_prefix": prefix,
             "type": "idempotent", "timeout_ms": 2500,
             "target_latency_ms": 250, "attempts": 2, "priority": 2,
             "backend": service} for name, prefix, service in routes],
        "services": [{"name": it, "health_path": "/health", "max_conns": 96}
                     for it in ("billing-match", "contractor-gate")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


async def request(kit, client, path, answers):
    rid = kit.new_id()
    sent = time.monotonic()
    kit.record.line(f"send {rid} {path} to {client.host.name}", sent)
    status, headers, _ = await client.send("GET", path, rid, 2500)
    answers.append((sent, path, status))
    kit.record.line(f"answer {rid} {status} "
                    f"{headers.get('retry-after', '')}")


async def load(kit, clients, answers, stop):
    begin, n = time.monotonic(), 0
    while not stop.is_set():
        client = clients[n % len(clients)]
        kit.spawn(request(kit, client, f"/first/{n % 40}", answers))
        kit.spawn(request(kit, client, "/later/heat", answers))
        n += 1
        await asyncio.sleep(max(0, begin + n / PER_S - time.monotonic()))


def served(answers, prefix, begin, end):
    seen = [it[2] for it in answers
            if it[1].startswith(prefix) and begin <= it[0] < end]
    return sum(1 for it in seen if 200 <= it < 300), len(seen)


async def case(kit):
    first = [("first", "/first/", "billing-match")]
    publish(kit, 3, first)
    for n in range(5):
        await k.Server(kit, "billing-match", f"i-{n}", ZONES[n % 3],
                       work_s=WORK_S).start()
    gate = [k.Server(kit, "contractor-gate", f"g-{n}", ZONES[n],
                     work_s=WORK_S) for n in range(3)]
    for it in gate:
        await it.start()
    kit.hosts = [k.Host(kit, f"frontend-{ZONES[n % 3]}-{n // 3 + 1}",
                        ZONES[n % 3]) for n in range(6)]
    for it in kit.hosts:
        await it.start()
    await kit.wait_ready(kit.hosts)
    await asyncio.sleep(2)
    publish(kit, 7, first + [("later", "/later/", "contractor-gate")])
    await asyncio.sleep(kit.bounds["config_apply_ms"] / 1000)
    answers, stop = [], asyncio.Event()
    clients = [k.Client(kit, it) for it in kit.hosts]
    begin = time.monotonic()
    kit.spawn(load(kit, clients, answers, stop))
    await asyncio.sleep(10)

    crash = time.monotonic()
    if k.trouble():
        for it in gate:
            await it.end()
            kit.record.line(f"server {it.instance} has crashed; was at work "
                            f"on {len(it.cut)}")
        await asyncio.sleep(3.6)  # three status report intervals of silence
        for it in gate:
            kit.store.remove("servers", it.instance)
        await asyncio.sleep(DOWN_S - 3.6)
        for n in range(3):
            await k.Server(kit, "contractor-gate", f"g-{n + 3}", ZONES[n],
                           work_s=WORK_S).start()
        kit.record.line("the servers are back")
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(STABILITY_S)
    steady = time.monotonic()
    await asyncio.sleep(WATCHED_S)
    end = time.monotonic()
    stop.set()
    await asyncio.sleep(3)

    for name, since, until in (("before the crash", begin, crash),
                               ("in steady state after it", steady, end)):
        for prefix in ("/first/", "/later/"):
            n, of = served(answers, prefix, since, until)
            kit.record.say(f"{name}: {n} of {of} on {prefix} served")
    n, of = served(answers, "/later/", steady, end)
    m, first_of = served(answers, "/first/", steady, end)
    return of >= 20 and n / of < m / first_of / 4


k.main(pathlib.Path(__file__).parent, case)
