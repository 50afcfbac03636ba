"""Workers go dark in the middle of streams: see claim.txt."""
import asyncio
import os
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import Cloud, Daemon, Engine, Record, Store, ask, main, program_path, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 4
ROUND_S = 12.0
DARK_S = 4.5
ZONES = ["z-a", "z-b", "z-c"]
SLOTS = 64
TIMEOUT_S = 4.0  # timeoutMs of the route
DEADLINE_S = 10.0  # of the clients, who stay that long: they abandon a stream after a gap of 9.6 s
KEY = "n2ctnfzs989anu6wsjnb"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "plan", "host": "h.example", "pathPrefix": "/plan/", "routeType": "streaming", "timeoutMs": 4000,
         "targetLatencyMs": 2000, "targetGapMs": 1200, "priority": 2, "service": "llm", "maxAttempts": 1,
         "canResume": False}],
    "services": [{"name": "llm", "healthPath": "/healthz",
                  "engine": {"slots": SLOTS, "kvCapacityTokens": 731753, "stride": 4}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "red", "apiKeys": [KEY]}]}


async def send_one(record, daemon, number, results):
    request = f"{number:016x}"
    sent = record.now()
    record.add(f"client sends {request} to {daemon.name}")
    answer = await ask(daemon.front, "POST", "/plan/a", {
        "Host": "h.example", "Attempt-Id": request, "Deadline-Ms": f"{DEADLINE_S * 1000:.0f}", "Model": "m",
        "Token-Count": "600,40", "Prompt-Prefix": f"{number:x}:600", "Authorization": f"Bearer {KEY}"},
        b"a prompt", DEADLINE_S)
    results[request] = (record.now() - sent, answer[0] if answer else None)
    record.add(f"client gets {answer[0] if answer else 'no whole answer'} for {request} after"
               f" {record.now() - sent:.3f} s")


async def run():
    record = Record(os.path.join(FOLDER, "record.txt"))
    store, cloud = Store(), Cloud(record)
    await store.open()
    await cloud.open()
    await store.put("config", "main", CONFIGURATION)
    workers = []
    results = {}
    tasks = []

    async def add_worker():
        worker = Engine(record, f"i-{len(workers):08x}", "llm", ZONES[len(workers) % 3], SLOTS, 20, 0.1)
        await worker.open()
        workers.append(worker)
        await store.put("servers", worker.name, worker.entry())

    for _ in range(6):
        await add_worker()
    with tempfile.TemporaryDirectory() as folder:
        daemons = [Daemon(folder, f"edge-{zone}", zone, ZONES, store.address, cloud.address) for zone in ZONES]

        async def load(until):
            while record.now() < until:
                number = len(tasks) + 1
                tasks.append(asyncio.create_task(send_one(record, daemons[number % len(daemons)], number, results)))
                await asyncio.sleep(1 / 15)

        try:
            for daemon in daemons:
                await daemon.start(program_path())
            for daemon in daemons:
                if not await wait_until(daemon.is_ready, 15):
                    print("a daemon doesn't get ready", file=sys.stderr)
                    return 2
            await asyncio.sleep(4)  # all machines are in touch
            begin = record.now()
            traffic = asyncio.create_task(load(begin + ROUNDS * ROUND_S))
            for number in range(ROUNDS):
                await asyncio.sleep(begin + number * ROUND_S + 3 - record.now())
                if not TROUBLE:
                    continue
                gone = max(workers, key=lambda it: 0 if it.dark else len(it.running))
                gone.dark = True
                record.add(f"worker {gone.name} goes dark, {len(gone.running)} streams run on it")
                await asyncio.sleep(3.6)  # three heartbeats
                await store.remove("servers", gone.name)
                await asyncio.sleep(DARK_S - 3.6)
                await add_worker()
            await traffic
            await asyncio.gather(*tasks)
        finally:
            for daemon in daemons:
                await daemon.end()
    longer = [it for it in results.values() if it[0] > TIMEOUT_S]
    held = [it for it in longer if it[0] > TIMEOUT_S + 0.5]
    statuses = {}
    for _, status in results.values():
        statuses[status] = statuses.get(status, 0) + 1
    text = (f"{len(longer)} requests lasted longer than timeoutMs, {len(held)} of them had no final answer 0.5 s later,"
            f" the longest {max(it[0] for it in results.values()):.3f} s after they were sent; answers: {statuses}")
    record.add("RESULT " + text)
    print(text)
    for server in [store, cloud, *workers]:
        server.close()
    if len(results) < 100 or not statuses.get(200):
        return 2
    return 1 if len(held) >= 8 and len(held) * 4 > len(longer) else 0


main(run)
