"""Stand-ins for the review's scripts: the platform's store and duties, workers and clients. They do what the users'
pages say and nothing more. Everything runs in one process on one asyncio loop, on loopback and the real clock."""
import asyncio
import json
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BEGIN = time.monotonic()


def now():
    return time.monotonic() - BEGIN


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


class Head:
    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_message(reader):
    """One HTTP/1.1 message: its head and its body, with a length or in chunks. None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    head = Head(raw[:-4])
    body = b""
    try:
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif head.get("content-length"):
            body = await reader.readexactly(int(head.get("content-length")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head, None
    return head, body


def reply_bytes(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 503: "Busy"}
    text = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(handler, port=0):
    server = await asyncio.start_server(handler, "127.0.0.1", port, limit=8 << 20)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's metadata store. A spec is kept and listed byte by byte as its writer sent it."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}  # kind -> name -> [rev, created, spec as JSON text]
        self.events = []  # (rev, kind, object text, tombstone)
        self.changed = asyncio.Condition()
        self.watching = set()  # writers of connections with a watch that waits
        self.calls = 0

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"

    def text_of(self, name, entry):
        meta = json.dumps({"name": name, "rev": entry[0], "created": entry[1], "finalizers": [], "deleting": False})
        return '{"metadata":' + meta + ',"spec":' + entry[2] + ',"status":null}'

    async def put(self, kind, name, spec):
        """Creates or replaces an object; gives the time of the acknowledgement."""
        entries = self.objects.setdefault(kind, {})
        old = entries.get(name)
        if not old or old[2] != spec:
            self.revision += 1
            entries[name] = [self.revision, old[1] if old else self.revision, spec]
            self.events.append((self.revision, kind, self.text_of(name, entries[name]), False))
            async with self.changed:
                self.changed.notify_all()
        return now()

    async def remove(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry:
            self.revision += 1
            entry[0] = self.revision
            self.events.append((self.revision, kind, self.text_of(name, entry), True))
            async with self.changed:
                self.changed.notify_all()
        return now()

    async def handle(self, reader, writer):
        try:
            while message := await read_message(reader):
                head, body = message
                if body is None:
                    break
                method, target, _ = head.start.split(" ")
                self.calls += 1
                status, text = await self.answer(method, target, body, writer)
                writer.write(reply_bytes(status, text.encode("utf-8", "surrogateescape"),
                                         [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body, writer):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        entries = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)), writer)
        if method == "GET" and name is None:
            names = sorted(it for it in entries if it > query.get("after", ""))
            page = names[:500]
            items = ",".join(self.text_of(it, entries[it]) for it in page)
            more = "true" if len(names) > len(page) else "false"
            return 200, f'{{"items":[{items}],"morePages":{more},"currentRev":{self.revision}}}'
        if method == "GET":
            return (200, self.text_of(name, entries[name])) if name in entries else (404, "{}")
        if method == "DELETE":
            if name not in entries:
                return 404, "{}"
            if "rev" in query and int(query["rev"]) != entries[name][0]:
                return 409, self.text_of(name, entries[name])
            await self.remove(kind, name)
            return 200, "{}"
        sent = json.loads(body)
        name = name or sent["metadata"]["name"]
        if method == "POST" and name in entries:
            return 409, self.text_of(name, entries[name])
        if method == "PUT":
            if name not in entries:
                return 404, "{}"
            if "rev" in sent["metadata"] and sent["metadata"]["rev"] != entries[name][0]:
                return 409, self.text_of(name, entries[name])
        await self.put(kind, name, json.dumps(sent.get("spec")))
        return 200, self.text_of(name, entries[name])

    async def watch(self, kind, revision, wait_ms, writer):
        end = time.monotonic() + wait_ms / 1000
        self.watching.add(writer)
        try:
            while True:
                found = [it for it in self.events if it[0] > revision and it[1] == kind]
                left = end - time.monotonic()
                if found or left <= 0:
                    events = ",".join('{"tombstone":%s,"object":%s}' % ("true" if it[3] else "false", it[2])
                                      for it in found)
                    return 200, f'{{"events":[{events}],"currentRev":{self.revision}}}'
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.watching.discard(writer)


class Cloud:
    """Takes the calls of single duties; tokens aren't checked (requireFence is false)."""

    def __init__(self, record):
        self.record = record
        self.calls = []

    async def start(self):
        self.server, port = await serve(self.handle)
        self.address = f"127.0.0.1:{port}"

    async def handle(self, reader, writer):
        try:
            while message := await read_message(reader):
                head, body = message
                self.calls.append((now(), head.start.split(" ")[1], head.get("duty-holder"),
                                   int(head.get("fencing-token", "0")), body))
                writer.write(reply_bytes(200, b"{}"))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Worker:
    """A worker of a service. `behaviour(worker, head, body, writer)` may answer a request itself and return True."""

    def __init__(self, store, record, name, service, zone, slots=16, work_s=0.02, behaviour=None):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.work_s, self.behaviour = slots, work_s, behaviour
        self.state = "ready"
        self.sequence = 0
        self.arrivals = []  # (time, attempt id, answered with 421)
        self.runs = []  # (time, attempt id)
        self.writers = set()
        self.down = False

    async def start(self, port=0):
        self.server, self.port = await serve(self.handle, port)
        self.address = f"127.0.0.1:{self.port}"

    def spec(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
                           "born": 1700000000000 + self.port})

    async def register(self):
        return await self.store.put("servers", self.name, self.spec())

    async def report_draining(self):
        self.state = "draining"
        return await self.register()

    async def stop(self):
        """Exits: closes its listener and every connection, and removes its entry."""
        self.down = True
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        await self.store.remove("servers", self.name)

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                head, body = message
                if body is None or self.down:
                    break
                if not await self.take(head, body, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def take(self, head, body, writer):
        attempt = head.get("attempt-id")
        wanted = head.get("expect-instance")
        if wanted and wanted != self.name:
            self.arrivals.append((now(), attempt, True))
            writer.write(reply_bytes(421, b"", [("Attempt-Id", attempt), ("Instance-Id", self.name)]))
            await writer.drain()
            return True
        self.arrivals.append((now(), attempt, False))
        self.runs.append((now(), attempt))
        self.record(f"worker {self.name} runs {attempt}")
        if self.behaviour:
            done = await self.behaviour(self, head, body, writer)
            if done is not None:
                return done
        await asyncio.sleep(self.work_s)
        writer.write(reply_bytes(200, b"done by " + self.name.encode(),
                                 [("Attempt-Id", attempt), ("Instance-Signature", "s." + self.name)]))
        await writer.drain()
        return True


class Client:
    """Sends requests to a daemon, each with an id of its own; keeps its connection."""

    sent = 0

    def __init__(self, record, daemon):
        self.record, self.daemon = record, daemon
        self.stream = None
        self.head = None  # of the last answer

    async def request(self, method, path, host, key, deadline_ms, headers=(), body=b"", timeout=None):
        """Gives (id, status, whole, seconds); the status is 0 when the connection ended, -1 without an answer."""
        Client.sent += 1
        attempt = f"{Client.sent:016x}"
        text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
        text += f"Authorization: Bearer {key}\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        if body or method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        began = now()
        self.head = None
        status, whole = 0, False
        try:
            if self.stream is None:
                self.stream = await asyncio.open_connection("127.0.0.1", self.daemon.front, limit=8 << 20)
            reader, writer = self.stream
            writer.write((text + "\r\n").encode() + body)
            message = await asyncio.wait_for(read_message(reader), timeout or deadline_ms / 1000)
            if message:
                self.head = message[0]
                status, whole = int(message[0].start.split(" ")[1]), message[1] is not None
                if not whole or message[0].get("connection").lower() == "close":
                    self.close()
            else:
                self.close()
        except asyncio.TimeoutError:
            status = -1
            self.close()
        except OSError:
            self.close()
        took = now() - began
        self.record(f"client {attempt} {method} {path} at {self.daemon.name}: sent {began:.3f}, status {status}, "
                    f"whole {whole}, {took:.3f} s")
        return attempt, status, whole, took

    def close(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None


taken_ports = set()


def free_port():
    """A port of loopback that is free for TCP and UDP, below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 30000)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            return port


class Daemon:
    """One process of the deploy file's command, with settings as its template gives for a small deployment."""

    def __init__(self, record, folder, name, zone, zones, store, cloud):
        self.record, self.name = record, name
        self.front, self.ready_port, self.control = free_port(), free_port(), free_port()
        settings = {
            "instance": name, "data_centre": zone, "region": "riga", "region_data_centres": zones,
            "caller_address": f"127.0.0.1:{self.front}", "admin_address": f"127.0.0.1:{self.ready_port}",
            "peer_address": f"127.0.0.1:{self.control}", "store_address": store.address,
            "usage_address": cloud.address, "instances_in_store": True, "cores": 0.25, "traffic_threads": 0,
            "accepts_unframed_answers": True, "finishes_withdrawn_requests": True, "answers_idle_timeout": False,
            "counts_usage_at_start": True, "usage_window_ms": 5000, "usage_report_bound_ms": 10000,
            "lease_term_ms": 3000}
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        program = os.path.join(REPO, "target", "lagoonspoked-platform")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([program, "--config=" + self.settings], cwd=REPO, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.record(f"daemon {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.record(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready_port), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(message) and " 200 " in message[0].start + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, bound):
        end = time.monotonic() + bound
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def route(name, kind, service, timeout_ms, target_ms, priority=0, attempts=1, **more):
    fields = {"name": name, "host": "review.example", "pathPrefix": f"/{name}/", "routeType": kind,
              "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": priority, "service": service,
              "maxAttempts": attempts, "anonymous": False, "sticky": False}
    fields.update(more)
    return fields


def configuration(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "shop", "apiKeys": ["n2ctnfzs989anu6wsjnb"]}]})


KEY = "n2ctnfzs989anu6wsjnb"
HOST = "review.example"


class CannotRun(Exception):
    pass


def main(case, folder):
    """Runs case(record, temporary folder, trouble, daemons): its result is True if the rule was broken. The case adds
    the daemons that it starts to the list; all of them are ended here."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)  # connections that end with the case
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    daemons = []
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            async def bounded():
                return await asyncio.wait_for(case(record, temporary, trouble, daemons), 110)
            broken = asyncio.run(bounded())
            code = 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record(f"the case could not run: {error!r}")
        finally:
            for daemon in daemons:
                daemon.end()
            if os.environ.get("KEEP_LOGS"):
                for daemon in daemons:
                    with open(daemon.log, encoding="utf-8", errors="replace") as log:
                        record.file.write(f"--- {daemon.name}\n" + log.read())
    record(f"exit code {code}")
    print(f"exit code {code}", flush=True)
    os._exit(code)  # what the loop left open needs no closing


LLM = {"slots": 64, "kvCapacityTokens": 731753, "kvBytes": 18432, "linkMbps": 370000.0, "moves": True, "backups": True,
       "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}


def service(name, **more):
    return {"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False, **more}


def prompt_headers(number):
    return [("Model", "m"), ("Token-Count", "1000,80"), ("Prompt-Prefix", f"aa10:800,{number:x}:200")]


async def write_stream(worker, attempt, writer, events, pause_s):
    """A stream of events with ids from 1, in chunks."""
    writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  f"Attempt-Id: {attempt}\r\nInstance-Signature: s.{worker.name}\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(1, events + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def start_daemons(record, temporary, store, cloud, daemons, count=7):
    """The machines of a small site, in three zones; returns when all are ready and contactMs has passed."""
    zones = ["riga-a", "riga-b", "riga-c"]
    for i in range(count):
        zone = zones[i % 3]
        daemons.append(Daemon(record, temporary, f"edge-{zone}-{i // 3 + 1}", zone, zones, store, cloud))
        daemons[i].start()
    for daemon in daemons:
        if not await daemon.wait_ready(15):
            raise CannotRun(f"{daemon.name} was not ready in 15 s")
    await asyncio.sleep(3.2)
