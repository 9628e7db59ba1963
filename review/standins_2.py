"""Stand-ins for the scripts of the second review: the platform's store, leaves, clients,
and the processes under test. Everything runs on loopback addresses.

The store and the leaves follow PROTOCOL.md. They run in one event loop. Each `World`
records what was sent, answered and run, and ends all processes that it started.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODE = os.path.join(ROOT, "target", "release", "guavacourse-node")
HOST = "h.example"

# Lines of a record; what `say` tells is always in it.
MAX_LINES = 10_000

STATUS_TEXT = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
               410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}


class Request:
    """A request as it was received."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body

    def header(self, name):
        for key, value in self.headers:
            if key == name:
                return value
        return None


async def read_message(reader):
    """Reads the start line, the headers and the body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("an early end") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    length = None
    chunked = False
    for name, value in headers:
        if name == "content-length":
            length = int(value)
        if name == "transfer-encoding" and value.lower() == "chunked":
            chunked = True
    if chunked:
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            parts.append(part[:-2])
        body = b"".join(parts)
    else:
        body = await reader.readexactly(length or 0)
    return lines[0], headers, body


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store (PROTOCOL.md, "The platform's metadata store")."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1024 * 1024
    VALUE_BYTES = 1_048_576

    def __init__(self, history_s=20.0):
        self.items = {}  # key: (value, revision, created, lease)
        self.log = []  # (revision, time, key, value or None, lease)
        self.revision = 100
        self.compacted = 100
        self.history_s = history_s
        self.leases = {}  # id: (ttl in seconds, end)
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.address = None
        self.calls = 0
        self.largest_answer = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2 ** 24)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.timer = asyncio.ensure_future(self.expire())

    def put(self, key, value, lease=0):
        """Writes a key for the operator or a leaf."""
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        assert len(key) <= 200 and len(value) <= self.VALUE_BYTES
        self.revision += 1
        known = self.items.get(key)
        created = known[2] if known else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.note(key, value, lease)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(key, None, 0)

    def note(self, key, value, lease):
        self.log.append((self.revision, time.monotonic(), key, value, lease))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            old = 0
            while old < len(self.log) and self.log[old][1] < now - self.history_s:
                old += 1
            if old:
                self.compacted = self.log[old - 1][0]
                del self.log[:old]

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ")
                self.calls += 1
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                self.largest_answer = max(self.largest_answer, len(text))
                writer.write(encode(status, [("Content-Type", "application/json")], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def item(key, value, revision, created, lease):
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "createRev": created, "lease": lease}

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        if method == "GET" and path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(self.item(query["key"], *item), asOf=self.revision)) \
                if item else (404, {})
        if method == "GET" and path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page, size = [], 0
            for key in keys:
                item = self.item(key, *self.items[key])
                size += len(item["value"]) + len(key)
                if page and (len(page) >= self.PAGE_ITEMS or size > self.PAGE_BYTES):
                    break
                page.append(item)
            return 200, {"items": page, "morePages": len(page) < len(keys),
                         "asOf": self.revision}
        if method == "GET" and path == "/v1/kv-watch":
            return await self.watch(query)
        if method == "POST" and path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if method == "POST" and path == "/v1/kv-lease":
            ttl = max(1000, min(600_000, json.loads(body)["ttlMs"]))
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if method == "POST" and path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        if method == "DELETE" and path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = []
            for revision, _, key, value, lease in reversed(self.log):
                if revision <= after:
                    break
                if not key.startswith(prefix):
                    continue
                if value is None:
                    events.append({"key": key, "revision": revision, "deleted": True})
                else:
                    events.append(self.item(key, value, revision, revision, lease))
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        puts, remove = body.get("puts", []), body.get("remove", [])
        rows = body.get("precondition", [])
        if len(puts) + len(remove) + len(rows) > 32:
            return 400, {}
        keys = [put["key"] for put in puts] + list(remove)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in rows:
            known = self.items.get(row["key"])
            if (known[1] if known else 0) != row["revision"]:
                return 412, {"items": []}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in remove:
            self.delete(key)
        return 200, {"revision": self.revision}


class Leaf:
    """A leaf of a service (PROTOCOL.md, "Leafs" and "Service discovery")."""

    QUEUE = 24

    def __init__(self, world, name, service, zone, slots=4, work_s=0.02, records=4):
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots, self.work_s, self.records = slots, work_s, records
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []  # (time, id)
        self.writers = set()
        self.respond = None  # a coroutine that answers instead, once the request has run
        self.told = None  # its entry, without the sequence
        self.silent = False  # no more pings: its entry lapses

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2 ** 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.ping()
        self.pinging = asyncio.ensure_future(self.ping_on())

    def entry(self):
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "1.0", "maxConcurrency": self.slots,
                "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
                "born": self.born}

    def ping(self):
        """Writes its entry, which changes only when more than the sequence changes."""
        self.sequence += 1
        entry = self.entry()
        told = {key: value for key, value in entry.items() if key != "sequence"}
        key = "servers/" + self.name
        if told != self.told or key not in self.world.store.items:
            self.told = told
            self.world.store.put(key, entry)

    async def ping_on(self):
        while True:
            await asyncio.sleep(1.2 * random.uniform(0.9, 1.1))
            if not self.silent:
                self.ping()

    async def leave(self):
        """Stops pinging and removes its entry."""
        self.silent = True
        self.world.store.delete("servers/" + self.name)

    def crash(self):
        """Ends at once: its connections are reset, others refused, and it pings no more."""
        self.silent = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.record("crashed", self.name)

    async def restart(self):
        """Starts again under its id and its address, and knows nothing of before."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                 limit=2 ** 20)
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state, self.told, self.silent = "ready", None, False
        self.ping()
        self.world.record("back", self.name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ")
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots}")

    async def handle(self, request, writer):
        if request.target == "/health":
            writer.write(encode(200, [("Instance-Id", self.name), self.load()]))
            return
        id = request.header("request-id")
        echo = [("Request-Id", id)] if id else []
        wanted = request.header("target-instance")
        if wanted and wanted != self.name:
            writer.write(encode(421, echo + [("Instance-Id", self.name)]))
            return
        if not id:
            writer.write(encode(400, [("Not-Executed", "1")]))
            return
        if self.running >= self.slots and self.waiting >= self.QUEUE:
            writer.write(encode(503, echo + [("Not-Executed", "1"), self.load()]))
            return
        deadline = request.header("deadline-ms")
        left = int(deadline) / 1000 if deadline else 60.0
        born, free = self.born, self.free
        self.waiting += 1
        waited = time.monotonic()
        await free.acquire()
        if self.born != born:
            return  # it has crashed since
        self.waiting -= 1
        self.running += 1
        try:
            if time.monotonic() - waited >= left:
                writer.write(encode(503, echo + [("Not-Executed", "1"), self.load()]))
                return
            self.runs.append((time.monotonic(), id))
            self.world.record("ran", id, f"{self.service}/{self.name}", request.target)
            await asyncio.sleep(self.work_s * random.uniform(0.8, 1.2))
            if self.respond:
                await self.respond(self, request, echo, writer)
                return
            signature = self.world.sign(id)
            body = os.urandom(16 * self.records)
            writer.write(encode(200, echo + [("Response-Signature", signature), self.load()],
                                body))
        finally:
            if self.born == born:
                self.running -= 1
            free.release()


class Node:
    """A process of the system."""

    def __init__(self, world, name, zone, number, lines):
        self.world, self.name, self.zone = world, name, zone
        self.ip = f"127.{world.net}.{world.net2}.{number + 1}"
        self.process = None
        self.peak_kb = 0
        self.lines = lines
        self.file = os.path.join(world.folder, name + ".conf")
        self.log = os.path.join(world.folder, name + ".log")

    def settings(self):
        world = self.world
        lines = dict(nodeName=self.name, role="node", machineClass="front", serves="front",
                     ip=self.ip, zone=self.zone, region=world.zones[self.zone],
                     internalPorts="7740,7755", seeds="", bootstrap="true", discovery="platform",
                     entry="virtual_ip", heartbeatMs=1200)
        lines.update({"zones." + zone: region for zone, region in world.zones.items()})
        lines.update({"bindAddresses.front": f"{self.ip}:8226",
                      "bindAddresses.ready": f"{self.ip}:8227",
                      "bindAddresses.control": f"{self.ip}:8224",
                      "limits.cpuShare": 0.25, "limits.cores": 1, "limits.memoryMb": 260,
                      "limits.maxFds": 4100, "limits.linkMbps": "1000.0", "limits.diskMb": 0,
                      "contracts": "base,drain,config,cost,retry,recover,scatter,platform",
                      "platform.address": world.store.address, "platform.form": "kv",
                      "platform.writesPerS": 400, "platform.readsPerS": 2000,
                      "platform.historyS": 20, "platform.valueBytes": 1048576,
                      "platform.ttlMinMs": 1000})
        bounds = dict(seedLagS=3, reuseAfterS=2, stableWindowMs=4000, ackMs=5000, catchUpS=4,
                      drainMs=3000, graceS=6, lossSlackMs=200, configApplyMs=3000,
                      rollbackSlackMs=250, maxSkewMs=12000, retryBudgetRatio=0.2,
                      budgetWindowS=10, retryBudgetExtra=54, recoveryS=12)
        lines.update({"bounds." + name: value for name, value in bounds.items()})
        lines.update(self.lines)
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    async def start(self):
        with open(self.file, "w") as file:
            file.write(self.settings())
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GUAVACOURSE_CONFIG"] = self.file
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                NODE, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.world.record("started", self.name)

    def kill(self, how=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(how)

    async def stop(self):
        self.kill()
        if self.process:
            await self.process.wait()

    def alive(self):
        return self.process.returncode is None

    def memory_kb(self, line):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for text in file:
                    if text.startswith(line + ":"):
                        return int(text.split()[1])
        except OSError:
            pass
        return 0

    async def ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ip, 8227, b"GET /v1/ready HTTP/1.1\r\n"
                                                 b"Host: x\r\nConnection: close\r\n\r\n"), 1.0)
            return answer is not None and answer[0] == 200
        except (asyncio.TimeoutError, OSError):
            return False

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def call(ip, port, data):
    """Sends bytes on a new connection. Returns status, headers and body, or None."""
    reader, writer = await asyncio.open_connection(ip, port, limit=2 ** 22)
    try:
        writer.write(data)
        await writer.drain()
        message = await read_message(reader)
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        message = None
    finally:
        writer.close()
    if message is None:
        return None
    line, headers, body = message
    return int(line.split(" ")[1]), dict(headers), body


class Unrunnable(Exception):
    """The case could not run."""


class World:
    """Store, leaves, nodes and the record of a run."""

    def __init__(self, zones=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones = zones or {"colombo-a": "western", "kandy-a": "central",
                               "galle-a": "southern"}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = 1 + os.getpid() % 250
        self.net2 = 1 + (os.getpid() // 250) % 250
        self.store = Store()
        self.leaves, self.nodes = [], []
        self.lines = []
        self.started = time.monotonic()
        self.signatures = {}
        self.next_id = 0
        self.counts = {}

    def record(self, *words):
        """Adds a line to the record; of very many, the first ones."""
        if len(self.lines) < MAX_LINES:
            self.add_line(words)

    def add_line(self, words):
        at = time.monotonic() - self.started
        self.lines.append(f"{at:9.3f} " + " ".join(str(word) for word in words))

    def say(self, text):
        self.add_line(("#", text))
        print(text, flush=True)

    def sign(self, id):
        signature = f"{random.getrandbits(64):016x}.{len(self.signatures):x}"
        self.signatures[signature] = id
        return signature

    async def start_store(self):
        await self.store.start()

    async def add_leaf(self, service, zone, **options):
        leaf = Leaf(self, f"i-{len(self.leaves):04d}-{service}", service, zone, **options)
        self.leaves.append(leaf)
        await leaf.start()
        return leaf

    def add_node(self, zone, **lines):
        lines = {name.replace("__", "."): value for name, value in lines.items()}
        node = Node(self, f"front-{zone}-{len(self.nodes) + 1}", zone, len(self.nodes), lines)
        self.nodes.append(node)
        return node

    def request(self, path, method="GET", deadline=2000, body=b"", headers=(), host=HOST):
        self.next_id += 1
        id = f"{random.getrandbits(32):08x}{self.next_id:08x}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {id}",
                 f"Deadline-Ms: {deadline}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return id, "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def start_nodes(self):
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise Unrunnable(f"{node.name} is not ready")

    def ran(self, id):
        """Returns the leaves that ran a request."""
        return [leaf for leaf in self.leaves for _, ran in leaf.runs if ran == id]

    async def ask(self, node, path, **options):
        """Sends one request on a new connection. Returns its id and the answer."""
        id, data = self.request(path, **options)
        limit = options.get("deadline", 2000) / 1000 + 1.0
        self.record("sent", id, node.name, path)
        try:
            answer = await asyncio.wait_for(call(node.ip, 8226, data), limit)
        except (asyncio.TimeoutError, OSError):
            answer = None
        status = answer[0] if answer else "none"
        self.record("answered", id, status)
        return id, answer

    async def close(self):
        for node in self.nodes:
            await node.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                shutil.copy(node.log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services=(), limits=None):
    limits = limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                        "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": list(services), "limits": limits}


def route(name, prefix, **rest):
    base = {"name": name, "hostname": HOST, "prefix": prefix, "type": "idempotent",
            "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2}
    base.update(rest)
    return base


def main(case, folder, zones=None):
    """Runs a case: a coroutine that takes a world and returns whether the rule held."""
    world = World(zones)

    async def run():
        try:
            return await asyncio.wait_for(case(world), 110)
        finally:
            await world.close()

    code = 2
    try:
        held = asyncio.run(run())
        code = 0 if held else 1
        world.say("the rule held" if held else "the rule was broken")
    except Exception as error:  # the case could not run
        world.say(f"the case could not run: {error!r}")
    finally:
        with open(os.path.join(folder, "record.txt"), "w") as file:
            file.write("\n".join(world.lines) + "\n")
    sys.exit(code)
