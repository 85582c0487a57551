"""Bad clients ask, at full speed, for ids that no invoker knows, while usual clients are served.

The platform ends a controller that goes over its memory limit. Exit code 1: that happened; 0: it did not; 2: the case
could not run. TROUBLE=0 leaves the bad clients out.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from peers import (  # noqa: E402
    CannotRun, Connection, Feed, Invoker, Node, Record, UsualClient, agap_settings, start_file, watch_memory,
)  # fmt: skip

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 192
CALM_S, TROUBLE_S = 5, 40
BAD_CLIENTS = 8
# The protocol allows 32 open requests on one connection.
OPEN_AT_ONCE = 32
REQUESTS_A_CONNECTION = 2_000
# The shortest limit of a try of this class, and the figures of a function that takes long to load.
LIMIT_MS = 2_500
BAD_EXTRAS = "memory_mb:3000;lanes:4;load_ms:3000"
ITEMS = ["%016x" % (0x7F3A9C2100000000 + number) for number in range(8)]


class BadClient:
    """Asks for ids that no invoker knows, reads what it is sent, and asks again as soon as it is turned away."""

    def __init__(self, address):
        self.address = address
        self.sent = self.answered = self.served = self.without_answer = 0

    async def run(self):
        while True:
            try:
                connection = await Connection(self.address).connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            slots = asyncio.Semaphore(OPEN_AT_ONCE)

            def ended(future):
                slots.release()
                if future.cancelled() or future.result() is None:
                    self.without_answer += 1
                else:
                    self.answered += 1
                    self.served += future.result()[0] == 79

            try:
                for _ in range(REQUESTS_A_CONNECTION):
                    await slots.acquire()
                    if not connection.may_send:
                        break
                    self.sent += 1
                    answer = connection.send(
                        "quote-lookup", os.urandom(8).hex(), LIMIT_MS, os.urandom(8).hex(), BAD_EXTRAS,
                    )  # fmt: skip
                    answer.add_done_callback(ended)
                    await connection.writer.drain()
                for _ in range(OPEN_AT_ONCE):
                    await asyncio.wait_for(slots.acquire(), 6)
            except (ConnectionError, asyncio.TimeoutError):
                pass
            connection.close()


async def play(record):
    feed = Feed()
    await feed.start()
    invokers = [Invoker(number + 1, record, set(ITEMS), 0.2, 0.9) for number in range(6)]
    for invoker in invokers:
        await invoker.start()
    node = Node(record, start_file(feed, invokers, agap_settings(), memory_mb=MEMORY_MB))
    try:
        node.start()
        await node.ready()
        listen = node.config["listen"]
        verbs = ["quote-lookup", "quote-lookup", "order-hold", "invoice-issue"]
        limits = {"quote-lookup": 5000, "order-hold": 5000, "invoice-issue": 6000}
        usual = [UsualClient(record, listen, verb, ITEMS, limits[verb], 0.2) for verb in verbs]
        tasks = [asyncio.ensure_future(client.run()) for client in usual]
        await asyncio.sleep(CALM_S)
        bad_clients = [BadClient(listen) for _ in range(BAD_CLIENTS)] if TROUBLE else []
        tasks += [asyncio.ensure_future(client.run()) for client in bad_clients]

        def note():
            sent, answered = sum(c.sent for c in bad_clients), sum(c.answered for c in bad_clients)
            return "; bad clients: sent %d, answered %d" % (sent, answered)

        highest, end = await watch_memory(node, record, MEMORY_MB, TROUBLE_S, note)
        for client in usual:
            client.ended = True
        await asyncio.sleep(0.5 if end != "running" else 7)
        counts = {}
        for client in usual:
            for word, count in client.counts.items():
                counts[word] = counts.get(word, 0) + count
        for task in tasks:
            task.cancel()
        record.write("usual clients: %s" % counts)
        record.write(
            "bad clients: sent %d, answered %d, served %d"
            % (
                sum(c.sent for c in bad_clients),
                sum(c.answered for c in bad_clients),
                sum(c.served for c in bad_clients),
            )
        )
        record.write("highest memory %.1f of %d MB, controller %s" % (highest, MEMORY_MB, end))
        if counts["served"] == 0:
            raise CannotRun("nothing was served")
        return end == "running" and (TROUBLE or counts["lost"] == 0)
    finally:
        node.remove()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        held = asyncio.run(asyncio.wait_for(play(record), 110))
        record.write("the rule held" if held else "the rule was broken")
        print("held" if held else "BROKEN: see record.txt")
        return 0 if held else 1
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.write("could not run: %r" % error)
        print("could not run: %r" % error)
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    os._exit(code)
