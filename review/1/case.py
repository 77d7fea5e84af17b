"""A late second copy of a rejection is taken for the answer to the retry."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import fleet  # noqa: E402

SECONDS = 90
BATCH = 9  # requests sent together; the two servers have room for 8
PERIOD = 0.06  # seconds between batches
SHARE_OF_ANSWERS = 0.04  # x of garble "extra late"
FOR_S = 5.0  # for_s of garble "extra late"
PAUSE_S = 2.0  # until the next one


async def case(record, temp):
    store = fleet.Store(record)
    await store.start()
    runs = {}
    servers = []
    for i, zone in enumerate(["colombo-north", "kelaniya-central"]):
        it = fleet.Upstream(record, runs, "contractor-gate", "i-%d" % i, zone,
                            slots=2, queue=2, work=0.01, seed=i)
        await it.start()
        servers.append(it)
        store.put("servers", it.instance, it.document())
    store.put("config", "main", fleet.manifest(7, [fleet.route(
        "issue", "/issue/", "non_idempotent", 2500, 250, 2,
        backend="contractor-gate")], ["contractor-gate"]))
    hosts = [fleet.Host(record, temp, i, zone, store.port)
             for i, zone in enumerate(fleet.ZONES)]
    clients = fleet.Clients(record, hosts)

    async def garble():
        while True:
            record("garble, extra late, begins at %s" % servers[0].instance)
            servers[0].extra_late = SHARE_OF_ANSWERS
            await asyncio.sleep(FOR_S)
            record("garble ends")
            servers[0].extra_late = 0
            await asyncio.sleep(PAUSE_S)

    disruption = None
    try:
        if not await fleet.start_hosts(record, hosts):
            return 2
        await asyncio.sleep(1)
        if fleet.TROUBLE:
            disruption = asyncio.create_task(garble())
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            for _ in range(BATCH):
                clients.send("POST", "/issue/#", body=b"issue one")
            await asyncio.sleep(PERIOD)
        await clients.done()
        await asyncio.sleep(3)
    finally:
        if disruption:
            disruption.cancel()
        for it in hosts:
            await it.end()
    twice = [it for it, of in runs.items() if len(of) > 1]
    refused = [it for it, answer in clients.answers.items()
               if answer.status in (408, 421, 429, 503) and it in runs]
    for it in twice:
        record("TWICE: %s ran %d times" % (it, len(runs[it])))
    for it in refused:
        record("REFUSED: %s was answered %d and ran" % (it, clients.answers[it].status))
    summary = "requests %d, answers %s, late copies %d, TWICE %d, REFUSED %d" % (
        clients.number, clients.statuses(), sum(it.copies for it in servers),
        len(twice), len(refused))
    record(summary)
    print(summary)
    return 1 if twice or refused else 0


fleet.main(HERE, case)
