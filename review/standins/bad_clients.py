"""Bad clients: each connects, sends hundreds of requests taken back at once, reads what it is sent, and closes.

Arguments: the controller's address, the verb, the limit of a try, the extras, how many clients at a time, and the number of
ids to draw from, which no invoker knows, or 0: the item is then the last line that came on standard input, and the clients
begin with the first. As soon as one client is through, the next one comes. The process ends with its standard input. Each
second it prints how many clients there were, and how many requests they sent.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from peers import CANCEL, READY_ANSWER, READY_QUERY, frame, read_frame, request  # noqa: E402

# Hundreds: all of one client's requests.
REQUESTS = 900


class BadClients:
    def __init__(self, address, verb, limit_ms, extras, ids):
        self.host, port = address.split(":")
        self.port = int(port)
        self.verb, self.limit_ms, self.extras, self.ids = verb, limit_ms, extras, ids
        self.item = None
        self.clients = self.sent = self.answers = 0

    def frames(self):
        frames = []
        for stream in range(1, REQUESTS + 1):
            item = "%016x" % (0xBAD0 << 48 | random.randrange(self.ids)) if self.ids else self.item
            txn = os.urandom(8).hex()
            frames.append(request(stream, self.verb, txn, self.limit_ms, item, self.extras))
            frames.append(frame(CANCEL, stream))
        # Its answer comes after all that came before it was read.
        frames.append(frame(READY_QUERY, REQUESTS + 1, b"\0"))
        return b"".join(frames)

    async def read(self, reader):
        while True:
            kind, _, _ = await read_frame(reader)
            self.answers += 1
            if kind == READY_ANSWER:
                return

    async def one_client(self):
        data = self.frames()
        reader, writer = await asyncio.open_connection(self.host, self.port)
        self.clients += 1
        try:
            reading = asyncio.ensure_future(self.read(reader))
            writer.write(data)
            self.sent += REQUESTS
            await asyncio.wait_for(reading, 5)
        finally:
            writer.close()

    async def keep_coming(self):
        while True:
            try:
                await self.one_client()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def report(self):
        while True:
            await asyncio.sleep(1)
            print(
                "%d clients sent %d requests, each taken back, and read %d frames"
                % (self.clients, self.sent, self.answers),
                flush=True,
            )


async def main():
    address, verb, limit_ms, extras, at_a_time, ids = sys.argv[1:7]
    bad = BadClients(address, verb, int(limit_ms), extras, int(ids))
    tasks = []
    loop = asyncio.get_running_loop()
    while True:
        if bad.ids or bad.item:
            if not tasks:
                tasks = [asyncio.ensure_future(bad.keep_coming()) for _ in range(int(at_a_time))]
                tasks.append(asyncio.ensure_future(bad.report()))
        line = await loop.run_in_executor(None, sys.stdin.readline)
        if not line:
            os._exit(0)
        bad.item = line.strip()


if __name__ == "__main__":
    asyncio.run(main())
