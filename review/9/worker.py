"""A model worker as a process of its own. One stream in 20 has no length and ends with its connection."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import Server, format_answer, read_message  # noqa: E402

EVENTS = 20
PAUSE_S = 0.1
UNFRAMED = 20  # one in so many


class Engine(Server):
    def __init__(self, name):
        super().__init__()
        self.name = name

    async def handle(self, reader, writer):
        message = await read_message(reader)
        if not message:
            return
        headers = message[1]
        request = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(format_answer(421, {"Attempt-Id": request, "Connection": "close"}, b""))
            await writer.drain()
            return
        print(f"worker {self.name} runs {request}", flush=True)
        unframed = int(request, 16) % UNFRAMED == 0
        framing = "" if unframed else "Transfer-Encoding: chunked\r\n"
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nInstance-Signature: sig.{self.name}\r\n"
                      f"Content-Type: text/event-stream\r\nConnection: close\r\n{framing}\r\n").encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(PAUSE_S)
            event = f"id: {number}\ndata: {self.name}\n\n".encode()
            writer.write(event if unframed else f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        print(f"worker {self.name} has sent all {EVENTS} events of {request}", flush=True)


async def run():
    worker = Engine(sys.argv[1])
    await worker.open()
    print(worker.address, flush=True)
    await asyncio.Event().wait()


asyncio.run(run())
