"""Stand-ins for what a controller of the platform talks to, written from the protocol and deployment pages:
the control feed, invokers, clients, and the platform itself (start file, signals, limits).

Standard library only. Everything listens and connects on 127.0.0.1.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "saltdrum")
DEPLOY_FILE = os.path.join(ROOT, "deploy", "balancer.toml")

REQUEST, ANSWER, CANCEL, READY_QUERY, READY_ANSWER, GO_AWAY = 16, 17, 18, 32, 33, 48
SERVED, REFUSED, FAILED = 79, 66, 69
WORDS = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
READY, DRAINING, GONE = 0, 1, 2


class CannotRun(Exception):
    """The case can't be played here (exit code 2)."""


def run_command():
    """The `run` line of the deploy file."""
    with open(DEPLOY_FILE, encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return value.split('"')[1]
    raise CannotRun("deploy/balancer.toml has no line `run`")


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


# Frames of clients and controllers.


def frame(kind, stream, payload=b""):
    return struct.pack(">IBI", len(payload) + 5, kind, stream) + payload


def fields(pairs):
    out = [bytes([len(pairs)])]
    for name, value in pairs:
        out.append(bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    return b"".join(out)


def request(stream, verb, txn, limit_ms, item, extras, unique=None, body=b""):
    pairs = [("verb", verb), ("txn", txn), ("limit", str(limit_ms)), ("item", item), ("extras", extras)]
    if unique is not None:
        pairs.append(("unique", unique))
    return frame(REQUEST, stream, fields(pairs) + body)


async def read_frame(reader):
    """The next frame: type, stream, payload."""
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    data = await reader.readexactly(length)
    kind, stream = struct.unpack(">BI", data[:5])
    return kind, stream, data[5:]


def parse_answer(payload):
    """Code, fields and body of an answer."""
    code, count, at, named = payload[0], payload[1], 2, {}
    for _ in range(count):
        size = payload[at]
        name = payload[at + 1 : at + 1 + size].decode()
        at += 1 + size
        (size,) = struct.unpack(">H", payload[at : at + 2])
        named[name] = payload[at + 2 : at + 2 + size].decode()
        at += 2 + size
    return code, named, payload[at:]


class Record:
    """What was sent, answered and run, with milliseconds since the start of the case."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")

    def now_ms(self):
        return (time.time() - self.start) * 1000

    def write(self, text):
        self.file.write("%9.1f %s\n" % (self.now_ms(), text))

    def close(self):
        self.file.close()


class Feed:
    """The control feed: events as told, and an empty frame each second."""

    def __init__(self):
        self.events = []
        self.told = asyncio.Event()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def tell(self, number, kind, records):
        data = b"".join(records)
        self.events.append((number, struct.pack(">IQB", 9 + len(data), number, kind) + data))
        self.told.set()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            (last,) = struct.unpack(">Q", await reader.readexactly(8))
            while True:
                self.told.clear()
                for number, data in self.events:
                    if number > last:
                        writer.write(data)
                        last = number
                writer.write(struct.pack(">IQB", 9, last, 0))
                await writer.drain()
                try:
                    await asyncio.wait_for(self.told.wait(), 1.0)
                except asyncio.TimeoutError:
                    pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def feed_record(number, address, state, zone, started_ms=0, kind=0, cell=0, size=4.0):
    host, port = address.split(":")
    return (
        struct.pack(">I", number)
        + socket.inet_aton(host)
        + struct.pack(">HBBBHIQ", int(port), state, zone, kind, cell, int(size * 1000), started_ms)
    )


class Invoker:
    """An invoker: runs functions that it holds, answers `miss` to others, loads on order."""

    def __init__(self, number, record, known_items, run_s, load_s, loads_by_itself=False):
        self.number, self.record = number, record
        # Whether it loads a function that it lacks while the request waits (`not_loaded`: `load`), or answers `miss`.
        self.loads_by_itself = loads_by_itself
        self.known_items, self.run_s, self.load_s = known_items, run_s, load_s
        self.loaded = set()
        self.requests = 0
        self.orders = 0
        self.runs = []
        self.misses = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def answer(self, writer, status, headers=(), body=b""):
        lines = ["HTTP/1.1 %s" % status, *headers, "Content-Length: %d" % len(body), "", ""]
        writer.write("\r\n".join(lines).encode() + body)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, path, _ = head[0].split(" ")
                named = dict(line.split(": ", 1) for line in head[1:] if line)
                named = {name.lower(): value for name, value in named.items()}
                body = await reader.readexactly(int(named.get("content-length", "0")))
                await self.handle(writer, method, path, named, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, writer, method, path, named, body):
        if path in ("/healthz", "/busy"):
            return self.answer(writer, "200 OK", ["X-Gauges: queue:0;util:0.1"])
        if method == "PUT":
            return await self.load(writer, path.split("/")[2], int(path.split("/")[3]))
        if method == "DELETE":
            self.loaded.discard(path.split("/")[2])
            return writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        await self.run(writer, path.split("/")[2], named, body)

    async def load(self, writer, item, count):
        if count == 0:
            return self.answer(writer, "200 OK", ["X-Units: %d" % (item in self.loaded)])
        self.orders += 1
        if item not in self.known_items:
            return self.answer(writer, "500 Error", ["X-How: boot_error", "X-Units: 0"])
        await asyncio.sleep(self.load_s)
        self.loaded.add(item)
        self.answer(writer, "200 OK", ["X-Units: 1"])

    async def run(self, writer, verb, named, body):
        self.requests += 1
        item, txn = named["x-name"], named["x-txn"]
        how = "resident"
        if item not in self.loaded and self.loads_by_itself:
            if item not in self.known_items:
                # What they can't use, invokers answer with 'error'.
                return self.answer(writer, "500 Error")
            await asyncio.sleep(self.load_s)
            self.loaded.add(item)
            how = "booted"
        if item not in self.loaded:
            self.misses += 1
            return self.answer(writer, "404 Miss")
        self.runs.append(txn)
        self.record.write("invoker %d runs %s" % (self.number, txn))
        await asyncio.sleep(self.run_s)
        self.answer(writer, "200 OK", ["X-How: " + how, "X-Gauges: util:0.2"], b"made for " + txn.encode())


class Node:
    """One controller, started by the deploy file's `run` line from the root."""

    def __init__(self, record, config):
        self.record, self.config = record, config
        self.folder = tempfile.mkdtemp(prefix="saltdrum-review-")
        self.path = os.path.join(self.folder, "config.json")
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        if not os.path.exists(BINARY):
            raise CannotRun("target/release/saltdrum is not built")
        self.write_config()
        variables = dict(os.environ)
        variables.update(
            RELAY_CONFIG=self.path,
            RELAY_LISTEN=self.config["listen"],
            RELAY_NAME=self.config["name"],
            TMPDIR=self.folder,
        )
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write("controller started, process %d" % self.process.pid)

    async def ready(self, timeout_s=30):
        """Asks whether the controller is ready until it answers yes."""
        host, port = self.config["listen"].split(":")
        deadline = time.time() + timeout_s
        while time.time() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("the controller ended at its start")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(frame(READY_QUERY, 1, b"\0"))
                kind, _, payload = await asyncio.wait_for(read_frame(reader), 2)
                writer.close()
                if kind == READY_ANSWER and payload[0] == SERVED:
                    return self.record.write("controller ready")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the controller was not ready within 30 s")

    def memory_mb(self):
        """Resident memory of the process without the pages of files, or None once it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
                sizes = [line.split()[1] for line in file if line.startswith(("RssAnon:", "RssShmem:"))]
                return sum(map(int, sizes)) / 1024 if sizes else None
        except OSError:
            return None

    def has_ended(self):
        return self.process.poll() is not None

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def remove(self):
        self.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def agap_settings(**changes):
    """Settings within the ranges of the deployment agap-central, of a day with three controllers."""
    window = 5000.0

    def trigger(name, aim, limit, effect, worth, late):
        return {
            "name": name, "aim_ms": aim, "give_up_ms": limit, "effect": effect, "key_scope": "all",
            "repeat_window_ms": window, "worth": worth, "late_share": late, "stream": False,
        }  # fmt: skip

    settings = {
        "balancers": 3, "self_index": 0, "zone": 0, "zones": ["hall-a", "hall-b", "hall-c"],
        "kinds": ["fast-4", "std-4"], "family": "warm", "over_share_worth": 1.0, "tick_ms": 2.0,
        "discovery": "automatic", "value_by": "request", "weight_source": "nominal",
        "classes": [
            trigger("quote-lookup", 1200.0, 5000.0, "safe", 1.0, 0.2),
            trigger("order-hold", 1000.0, 5000.0, "keyed", 5.0, 0.2),
            trigger("invoice-issue", 2000.0, 6000.0, "unsafe", 2.0, 0.1),
        ],
        "bounds": {
            "cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "max_open": 20000,
            "max_retry_after_ms": 2000.0, "parallel_tries": False, "peers": False, "probing": True,
            "retry_after": True, "streams_per_conn": 32, "try_limit": 3,
        },
        "family_info": {
            "kind_memory_mb": [42000.0, 42000.0], "linger_idle_ms": 8700.0, "load_share": 0.1,
            "load_wait_ms": 10000.0, "load_window_ms": 5000.0, "loads_anyway": 3.0, "may_order": True,
            "not_loaded": "miss", "notes_peers_in_hand": True, "tells_warm": True,
        },
        "reporting": {"how": "probe", "fields": ["queue", "util"]},
        "rules": {
            "cold_from": 0.19, "cold_ms": 15000.0, "drain_grace_ms": 250.0, "grace_to_answer_ms": 16.0,
            "overload_factor": 2.0, "tip_after_ms": 3000.0,
        },
    }  # fmt: skip
    settings.update(changes)
    return settings


def market_settings():
    """Settings within the ranges of the deployment market-models, of a day with three controllers."""
    settings = agap_settings()
    settings.update(zones=["ljubljana-dc"], kinds=["std-3core"])
    settings["classes"] = [
        {
            "name": "produce-check", "aim_ms": 1000.0, "give_up_ms": 3000.0, "effect": "safe", "key_scope": "all",
            "repeat_window_ms": 5000.0, "worth": 1.0, "late_share": 0.2, "stream": False,
        }
    ]  # fmt: skip
    settings["bounds"].update(try_limit=5, conn_idle_ms=30000.0)
    settings["family_info"].update(
        kind_memory_mb=[16000.0], linger_idle_ms=8700.0, load_share=0.0, load_window_ms=0.0, loads_anyway=0.0,
        not_loaded="load", notes_peers_in_hand=False,
    )  # fmt: skip
    settings["reporting"] = {"how": "answers", "fields": ["util"]}
    settings["rules"].update(cold_from=0.2, cold_ms=17000.0, drain_grace_ms=500.0, tip_after_ms=1000.0)
    return settings


def start_file(feed, invokers, settings, memory_mb=192, sockets=256):
    """The start file of one controller; all invokers are up since long ago."""
    members = [
        {
            "id": "s-%08x" % invoker.number, "host_port": invoker.address,
            "locality": settings["zones"][index % len(settings["zones"])], "flavor": settings["kinds"][0],
            "cell": index % len(settings["zones"]), "phase": "up", "size": 4, "up_since_ms": 0,
        }
        for index, invoker in enumerate(invokers)
    ]  # fmt: skip
    return {
        "name": "n1",
        "listen": free_address(),
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "feed": feed.address,
        "known": {"n": 1, "events": [{"n": 1, "members": {"revision": 1, "complete": True, "members": members}}]},
        "settings": settings,
    }


class Connection:
    """A client's connection. Each answer resolves the future of its stream."""

    def __init__(self, address):
        self.address = address
        self.stream = 0
        self.open = {}
        self.may_send = True

    async def connect(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                kind, stream, payload = await read_frame(self.reader)
                if kind == ANSWER and stream in self.open:
                    future = self.open.pop(stream)
                    if not future.done():
                        future.set_result(parse_answer(payload))
                elif kind == GO_AWAY:
                    self.may_send = False
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.may_send = False
            for future in self.open.values():
                if not future.done():
                    future.set_result(None)
            self.open.clear()

    def send(self, *arguments, **named):
        """Sends a request on a new stream. The future gives its answer, or None if the connection ended first."""
        self.stream += 1
        future = asyncio.get_running_loop().create_future()
        self.open[self.stream] = future
        self.writer.write(request(self.stream, *arguments, **named))
        return future

    def close(self):
        self.task.cancel()
        self.writer.close()


class UsualClient:
    """A usual client: one request at a time on a connection that it keeps, as the pages allow."""

    def __init__(self, record, address, verb, items, limit_ms, pause_s, extras):
        self.record, self.address, self.verb, self.items = record, address, verb, items
        self.limit_ms, self.pause_s, self.extras = limit_ms, pause_s, extras
        self.counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0, "unsent": 0}
        self.ended = False
        self.watch_s = 0.0

    async def run(self):
        connection = None
        while not self.ended:
            await asyncio.sleep(self.pause_s)
            if connection is None or not connection.may_send:
                try:
                    connection = await Connection(self.address).connect()
                except OSError:
                    self.counts["unsent"] += 1
                    connection = None
                    continue
            txn = os.urandom(8).hex()
            item = self.items[int.from_bytes(os.urandom(2), "big") % len(self.items)]
            unique = os.urandom(16).hex() if self.verb == "order-hold" else None
            sent_at = time.time()
            answer = connection.send(self.verb, txn, self.limit_ms, item, self.extras, unique=unique)
            # Up to half a second after its time an answer only earns nothing, and every limit is longer by 50 ms.
            # Whether it comes at all is watched for longer.
            last_s = self.limit_ms / 1000 + 0.55
            done, _ = await asyncio.wait([answer], timeout=last_s + self.watch_s)
            result = answer.result() if done else None
            took_s = time.time() - sent_at
            word, said = ("lost", "no answer") if result is None else (WORDS[result[0]], WORDS[result[0]])
            if result is None and done:
                said = "connection ended without an answer"
            if word == "served" and result[2] != b"made for " + txn.encode():
                word, said = "lost", "served, with a body that no invoker made for it"
            if result is not None and took_s > last_s:
                word, said = "lost", said + ", too late"
            self.counts[word] += 1
            self.record.write(
                "client %s %s (limit %d ms) %s: %s after %.0f ms"
                % (self.verb, txn, self.limit_ms, word, said, took_s * 1000)
            )
        if connection is not None:
            connection.close()


async def watch_memory(node, record, limit_mb, for_s, note=lambda: ""):
    """The platform: samples the controller's memory, and kills it over its limit. Returns the highest value, and
    whether the controller is "running", was "killed" for its memory or has "ended" by itself."""
    until_ms = record.now_ms() + for_s * 1000
    highest, last_written = 0.0, -1000.0
    while record.now_ms() < until_ms:
        memory = node.memory_mb()
        if node.has_ended() or memory is None:
            record.write("controller ended by itself, code %s" % node.process.poll())
            return highest, "ended"
        highest = max(highest, memory)
        if record.now_ms() - last_written >= 500 or memory > limit_mb:
            last_written = record.now_ms()
            record.write("memory %.1f of %d MB%s" % (memory, limit_mb, note()))
        if memory > limit_mb:
            record.write("over its memory limit: the platform kills the controller")
            node.kill()
            return highest, "killed"
        await asyncio.sleep(0.05)
    return highest, "running"


class BadClientProcesses:
    """Processes of `bad_clients.py`."""

    def __init__(self, node, record, number, arguments):
        self.node, self.record, self.children, self.outputs = node, record, [], []
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "bad_clients.py")
        for index in range(number):
            path = os.path.join(node.folder, "bad-%d" % index)
            with open(path, "w", encoding="utf-8") as output:
                command = [sys.executable, "-B", script, node.config["listen"], *map(str, arguments)]
                child = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=output, text=True)
            self.children.append(child)
            self.outputs.append(path)
            record.write("bad clients started, process %d" % child.pid)

    def ask_for(self, item):
        for child in self.children:
            child.stdin.write(item + "\n")
            child.stdin.flush()

    def end(self):
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()

    def write_counts(self):
        for path in self.outputs:
            with open(path, encoding="utf-8") as file:
                self.record.write("bad clients: %s" % (file.read().splitlines() or ["none"])[-1])
