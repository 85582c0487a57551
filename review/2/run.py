"""Bad clients take back hundreds of requests at once, for ids that no invoker knows, while usual clients are served.

The platform ends a controller that goes over its memory limit. Exit code 1: that happened; 0: it did not; 2: the case
could not run. TROUBLE=0 leaves the bad clients out.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from peers import (  # noqa: E402
    BadClientProcesses, CannotRun, Feed, Invoker, Node, Record, UsualClient, agap_settings, start_file, watch_memory,
)  # fmt: skip

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 192
CALM_S, TROUBLE_S = 5, 40
# Bad clients at a time, and the ids that they draw from.
BAD_CLIENTS, UNKNOWN_IDS = 8, 1 << 40
EXTRAS = "memory_mb:3000;lanes:4;load_ms:900"
ITEMS = ["%016x" % (0x7F3A9C2100000000 + number) for number in range(8)]


async def play(record):
    feed = Feed()
    await feed.start()
    invokers = [Invoker(number + 1, record, set(ITEMS), 0.2, 0.9) for number in range(6)]
    for invoker in invokers:
        await invoker.start()
    node = Node(record, start_file(feed, invokers, agap_settings(), memory_mb=MEMORY_MB))
    bad_clients = None
    try:
        node.start()
        await node.ready()
        listen = node.config["listen"]
        verbs = ["quote-lookup", "quote-lookup", "order-hold", "invoice-issue"]
        limits = {"quote-lookup": 5000, "order-hold": 5000, "invoice-issue": 6000}
        usual = [UsualClient(record, listen, verb, ITEMS, limits[verb], 0.2, EXTRAS) for verb in verbs]
        tasks = [asyncio.ensure_future(client.run()) for client in usual]
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            arguments = ["quote-lookup", 2500, EXTRAS, BAD_CLIENTS, UNKNOWN_IDS]
            bad_clients = BadClientProcesses(node, record, 1, arguments)
        highest, end = await watch_memory(node, record, MEMORY_MB, TROUBLE_S)
        if bad_clients:
            bad_clients.end()
            bad_clients.write_counts()
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
        record.write("highest memory %.1f of %d MB, controller %s" % (highest, MEMORY_MB, end))
        if counts["served"] == 0:
            raise CannotRun("nothing was served")
        return end == "running" and (TROUBLE or counts["lost"] == 0)
    finally:
        if bad_clients:
            bad_clients.end()
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
