"""A worker breaks its answer off while an instance that is cut off from it sends it a long body: see claim.txt."""
import asyncio
import os
import socket
import struct
import sys
import tempfile
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import Cloud, Daemon, Record, Store, ask, main, program_path, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TRIALS = 12
SOUND_PER_S = 12  # other requests, answered soundly
ZONES = ["z-a", "z-b", "z-c"]
KEY = "n2ctnfzs989anu6wsjnb"
WHOLE = b"w" * 800  # the worker's body
PART = 400  # what it sends of it
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "book", "host": "h.example", "pathPrefix": "/book/", "routeType": "non_idempotent",
                "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "service": "app", "maxAttempts": 1}],
    "services": [{"name": "app", "healthPath": "/healthz"}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "red", "apiKeys": [KEY]}]}


class Worker:
    """Answers before it has read a long body, without a length. Its port can be cut off: connections to it then hang."""

    def __init__(self, record, name, zone, garbles):
        self.record, self.name, self.zone, self.garbles = record, name, zone, garbles
        self.answers = self.broken = 0
        self.born = int(time.time() * 1000)
        self.fillers = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.settimeout(0.1)
        self.port = self.listener.getsockname()[1]
        self.is_open = threading.Event()
        self.is_open.set()
        self.ended = False
        threading.Thread(target=self.serve, daemon=True).start()

    def entry(self):
        return {"service": "app", "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 6,
                "state": "ready", "coldLeftMs": 0, "seq": 1, "born": self.born}

    def cut(self):
        self.is_open.clear()
        time.sleep(0.15)  # the last accept has ended
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.is_open.set()

    def serve(self):
        while not self.ended:
            self.is_open.wait()
            try:
                connection, _ = self.listener.accept()
            except OSError:
                continue
            threading.Thread(target=self.handle, args=(connection,), daemon=True).start()

    def handle(self, connection):
        connection.settimeout(5)
        text = b""
        try:
            while b"\r\n\r\n" not in text:
                data = connection.recv(2048)
                if not data:
                    connection.close()
                    return
                text += data
            head, _, body = text.partition(b"\r\n\r\n")
            headers = {}
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            request = headers.get("attempt-id", "")
            self.record.add(f"worker {self.name} runs {request}, {headers.get('content-length')} bytes")
            answer = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nInstance-Signature: sig.{self.name}\r\n"
                      "Content-Type: text/plain\r\nConnection: close\r\n\r\n").encode()
            if TROUBLE and self.garbles and len(body) + 1 < int(headers.get("content-length", 0)) // 1000:
                connection.sendall(answer + WHOLE[:PART])
                time.sleep(0.3)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.close()
                self.broken += 1
                self.record.add(f"worker {self.name} has sent {PART} of {len(WHOLE)} bytes for {request}, and resets")
                return
            self.answers += 1
            left = int(headers.get("content-length", 0)) - len(body)
            while left > 0:
                left -= len(connection.recv(65536))
            connection.sendall(answer + WHOLE)
            connection.close()
            self.record.add(f"worker {self.name} has answered {request}")
        except OSError as error:
            self.record.add(f"worker {self.name}: {error}")


async def run():
    record = Record(os.path.join(FOLDER, "record.txt"))
    store, cloud = Store(), Cloud(record)
    await store.open()
    await cloud.open()
    await store.put("config", "main", CONFIGURATION)
    workers = [Worker(record, f"i-{number:08x}", ZONES[number], number == 0) for number in range(1)]
    for worker in workers:
        await store.put("servers", worker.name, worker.entry())
    answers, sound = [], []
    with tempfile.TemporaryDirectory() as folder:
        daemons = [Daemon(folder, f"edge-{zone}-{number}", zone, ZONES, store.address, cloud.address)
                   for number in (1, 2) for zone in ZONES]

        async def send(daemon, request, body):
            return await ask(daemon.front, "POST", "/book/a", {
                "Host": "h.example", "Attempt-Id": request, "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"},
                body, 5)

        async def send_sound(trial, for_s):
            end = record.now() + for_s
            number = 0
            while record.now() < end:
                number += 1
                answer = await send(daemons[number % len(daemons)], f"5{trial:07x}{number:08x}", b"a short body")
                sound.append(answer is not None and answer[0] == 200 and answer[2] == WHOLE)
                await asyncio.sleep(1 / SOUND_PER_S)

        try:
            for daemon in daemons:
                await daemon.start(program_path())
            for daemon in daemons:
                if not await wait_until(daemon.is_ready, 15):
                    print("a daemon doesn't get ready", file=sys.stderr)
                    return 2
            await asyncio.sleep(6)  # the daemons know each other
            for number in range(1, TRIALS + 1):
                request = f"{number:016x}"
                if TROUBLE:
                    for worker in workers:
                        worker.cut()
                    record.add(f"the ports of the workers are cut off; only {daemons[0].name} asks for them meanwhile")
                record.add(f"client sends {request} to {daemons[0].name}")
                asked = asyncio.create_task(send(daemons[0], request, b"b" * 4_000_000))
                if TROUBLE:
                    await asyncio.sleep(0.2)
                    for worker in workers:
                        worker.heal()
                    record.add("the ports take connections again, those of other machines first")
                answer = await asked
                answers.append(answer)
                record.add(f"client gets {answer[0] if answer else 'no whole answer'} for {request},"
                           f" {len(answer[2]) if answer else 0} bytes, signature"
                           f" {answer[1].get('instance-signature') if answer else None}")
                await send_sound(number, 4)
        finally:
            for daemon in daemons:
                await daemon.end()
            for worker in workers:
                worker.ended = True
    short = [it for it in answers if it and it[0] == 200 and it[2] != WHOLE]
    statuses = [it[0] if it else None for it in answers]
    text = f"{len(short)} of {len(answers)} clients got a part of the worker's body as a whole answer; answers: {statuses};"
    text += f" {sum(sound)} of {len(sound)} other requests were served; broken off: {workers[0].broken} of"
    text += f" {workers[0].answers + workers[0].broken} answers of {workers[0].name}"
    record.add("RESULT " + text)
    print(text)
    for server in [store, cloud]:
        server.close()
    if len(answers) < TRIALS or (not TROUBLE and statuses.count(200) < TRIALS):
        return 2
    return 1 if short else 0


main(run)
