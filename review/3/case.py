"""A machine gets SIGTERM while requests that it has read wait for a slot of an engine."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import (Client, Cloud, HOST, KEY, LLM, Store, Worker, configuration, main, now, prompt_headers,  # noqa: E402
                      route, service, start_daemons, write_stream)

GRACE_S = 8.0  # graceS of the small sites
TIMEOUT_MS = 10000  # of wax-plan: deadline and timeoutMs; its objective is 2,000 and its longest pause 1,200
SLOTS = 4


async def case(record, temporary, trouble, daemons):
    store, cloud = Store(record), Cloud(record)
    await store.start()
    await cloud.start()
    plan = route("plan", "streaming", "wax", TIMEOUT_MS, 2000, canResume=False, targetGapMs=1200, sticky=True)
    await store.put("config", "main", configuration(7, [plan], [service("wax", engine={**LLM, "slots": SLOTS})]))

    begun = set()  # attempts that a worker began to work on

    async def run(worker, head, body, writer):
        if not hasattr(worker, "places"):
            worker.places = asyncio.Semaphore(SLOTS)  # what comes beyond the slots waits in the worker's queue
        async with worker.places:
            begun.add(head.get("attempt-id"))
            events = int(head.start.split(" ")[1].rsplit("/", 1)[1])
            await write_stream(worker, head.get("attempt-id"), writer, events, 0.3)
        return True

    workers = [Worker(store, record, f"i-{i}", "wax", f"riga-{'ab'[i]}", slots=SLOTS, behaviour=run) for i in range(2)]
    for worker in workers:
        await worker.start()
        await worker.register()
    await start_daemons(record, temporary, store, cloud, daemons)

    async def ask(daemon, events, number):
        client = Client(record, daemon)
        result = await client.request("POST", f"/plan/{events}", HOST, KEY, TIMEOUT_MS,
                                      headers=prompt_headers(number), timeout=TIMEOUT_MS / 1000 + 1)
        client.close()
        return result

    for number in range(14):  # the dispatcher learns how long streams last
        await ask(daemons[number % 7], 2, 100 + number)
    # Plans of 9.3 s fill the eight slots, and a few more of them wait. Those of the machine that is stopped wait as well.
    target = daemons[3]
    running = []
    for number in range(12):
        running.append(asyncio.create_task(ask(daemons[number % 3], 31, 200 + number)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.3)
    waiting = [asyncio.create_task(ask(target, 2, 300 + number)) for number in range(6)]
    await asyncio.sleep(0.3)
    sent_until = now()
    if trouble:
        target.signal(signal.SIGTERM)
        end = now() + GRACE_S
        while now() < end and target.process.poll() is None:
            await asyncio.sleep(0.02)
        if target.process.poll() is None:
            target.signal(signal.SIGKILL)
        else:
            record(f"daemon {target.name} ended by itself, {now() - end + GRACE_S:.3f} s after SIGTERM")
    results = [await it for it in waiting]
    for it in running:
        await it
    lost = []
    for attempt, status, whole, took in results:
        unanswered = status <= 0 or not whole
        record(f"waiting request {attempt}: status {status}, whole {whole}, {took:.3f} s, "
               f"{'begun' if attempt in begun else 'never begun'} by a worker")
        # Not counted: the deadline was reached, or a worker was at work on it.
        if unanswered and took < TIMEOUT_MS / 1000 - 0.2 and attempt not in begun:
            lost.append(attempt)
            record(f"LOST: {attempt} was sent whole {sent_until:.3f} at the latest; its connection ended without an answer")
    record(f"requests lost: {len(lost)} of {len(results)}")
    return bool(lost)


main(case, FOLDER)
