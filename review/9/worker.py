"""A model worker as a process of its own, whose streams have no length and end with their connection."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import Server, format_answer, read_message  # noqa: E402

EVENTS = 20
PAUSE_S = 0.1


class Unframed(Server):
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
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nInstance-Signature: sig.{self.name}\r\n"
                      "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n").encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(PAUSE_S)
            writer.write(f"id: {number}\ndata: {self.name}\n\n".encode())
            await writer.drain()
        print(f"worker {self.name} has sent all {EVENTS} events of {request}", flush=True)


async def run():
    worker = Unframed(sys.argv[1])
    await worker.open()
    print(worker.address, flush=True)
    await asyncio.Event().wait()


asyncio.run(run())
