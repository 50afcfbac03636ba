"""Workers whose streams have no length are killed: see claim.txt."""
import asyncio
import os
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import Cloud, Daemon, Record, Store, ask, main, program_path, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 8
ROUND_S = 6.0
EVENTS = 20
ZONES = ["z-a", "z-b", "z-c"]
SLOTS = 64
KEY = "n2ctnfzs989anu6wsjnb"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "chat", "host": "h.example", "pathPrefix": "/chat/", "routeType": "streaming", "timeoutMs": 12000,
         "targetLatencyMs": 400, "targetGapMs": 300, "priority": 0, "service": "llm", "maxAttempts": 1,
         "canResume": False}],
    "services": [{"name": "llm", "healthPath": "/healthz",
                  "engine": {"slots": SLOTS, "kvCapacityTokens": 731753, "stride": 4}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "red", "apiKeys": [KEY]}]}


class WorkerProcess:
    def __init__(self, record, name, zone):
        self.record, self.name, self.zone = record, name, zone
        self.runs = 0
        self.process = self.reader = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(FOLDER, "worker.py"), self.name, stdout=asyncio.subprocess.PIPE)
        self.address = (await self.process.stdout.readline()).decode().strip()
        self.entry = {"service": "llm", "address": self.address, "zone": self.zone, "version": "v1", "slots": SLOTS,
                      "state": "ready", "coldLeftMs": 0, "seq": 1, "born": int(time.time() * 1000)}
        self.reader = asyncio.create_task(self.read())

    async def read(self):
        while line := await self.process.stdout.readline():
            self.record.add(line.decode().strip())
            self.runs += 1 if b" runs " in line else -1

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def send_one(record, daemon, number, results):
    request = f"{number:016x}"
    record.add(f"client sends {request} to {daemon.name}")
    answer = await ask(daemon.front, "POST", "/chat/a", {
        "Host": "h.example", "Attempt-Id": request, "Deadline-Ms": "12000", "Model": "m", "Token-Count": "600,80",
        "Prompt-Prefix": f"{number:x}:600", "Authorization": f"Bearer {KEY}"}, b"a prompt", 12)
    ids = [int(line[4:]) for line in answer[2].decode().split("\n") if line.startswith("id: ")] if answer else []
    results[request] = (answer[0] if answer else None, ids)
    record.add(f"client gets {f'a whole answer {answer[0]}' if answer else 'no whole answer'} for {request},"
               f" events {ids[0] if ids else '-'} to {ids[-1] if ids else '-'}")


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
        worker = WorkerProcess(record, f"i-{len(workers):08x}", ZONES[len(workers) % 3])
        workers.append(worker)
        await worker.start()
        await store.put("servers", worker.name, worker.entry)

    with tempfile.TemporaryDirectory() as folder:
        daemons = [Daemon(folder, f"edge-{zone}", zone, ZONES, store.address, cloud.address) for zone in ZONES]

        async def load(until):
            while record.now() < until:
                number = len(tasks) + 1
                tasks.append(asyncio.create_task(send_one(record, daemons[number % len(daemons)], number, results)))
                await asyncio.sleep(1 / 25)

        try:
            for _ in range(6):
                await add_worker()
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
                if TROUBLE:
                    gone = max(workers, key=lambda it: it.runs if it.process.returncode is None else -1)
                    record.add(f"worker {gone.name} is killed, {gone.runs} streams run on it")
                    await gone.kill()
                    await add_worker()
                    await asyncio.sleep(2)
                    await store.remove("servers", gone.name)
            await traffic
            await asyncio.gather(*tasks)
        finally:
            for daemon in daemons:
                await daemon.end()
            for worker in workers:
                await worker.kill()
    short = [request for request, (status, ids) in results.items() if status == 200 and len(ids) < EVENTS]
    statuses = {}
    for status, _ in results.values():
        statuses[status] = statuses.get(status, 0) + 1
    text = f"{len(short)} streams ended as complete before their last event; answers: {statuses}"
    record.add("RESULT " + text)
    print(text)
    for server in [store, cloud]:
        server.close()
    if len(results) < 100 or not statuses.get(200):
        return 2
    return 1 if short else 0


main(run)
