"""Stand-ins of the platform's store, of leaves and of consumers, and the start and the
end of the project's own processes. They speak what PROTOCOL.md says, on loopback
addresses and the real clock."""

import asyncio
import base64
import json
import os
import signal
import shutil
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# `run` of the role in deploy/system.toml.
NODE = ROOT / "target" / "release" / "guavacourse-node"
STORE_DELAY_S = 0.004
HOST = "desk.example"

BROKEN, HELD, CANNOT_RUN = 1, 0, 2


class Message:
    """A request or a response: first line, headers in lower case, body."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body

    def get(self, name, default=""):
        return self.headers.get(name, default)

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_message(reader, response=False):
    """Reads one message; None if the peer closed the connection before its first byte.
    Raises IncompleteReadError if the message ends early."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif response:
        body = await reader.read(-1)
    return Message(lines[0], headers, body)


def response(status, headers=(), body=b"", reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("utf-8") + body


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's store: one revision counter, leases, watches."""

    def __init__(self):
        self.items, self.log, self.leases = {}, [], {}
        self.revision, self.next_lease = 100, 1
        self.compacted = 0
        self.changed = asyncio.Condition()
        self.server, self.address = None, None
        # Called with the method and path of a call; may wait, or return a status with
        # which the call is refused.
        self.gate = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def write(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            if self.items.pop(key, None) is None:
                self.revision -= 1
                return
        else:
            made = self.items[key]["createRev"] if key in self.items else self.revision
            value = value if isinstance(value, bytes) else json.dumps(value).encode()
            self.items[key] = {
                "key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "createRev": made, "lease": lease,
            }
        event = self.items.get(key) or {"key": key, "revision": self.revision, "deleted": True}
        self.log.append(dict(event))
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        now = time.monotonic()
        for lease in [l for l, (_, end) in self.leases.items() if end <= now]:
            await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.write(key, None)

    async def serve(self, reader, writer):
        try:
            while True:
                call = await read_message(reader)
                if call is None:
                    return
                method, target, _ = call.line.split(" ")
                await asyncio.sleep(STORE_DELAY_S)
                await self.expire()
                refused = await self.gate(method, target) if self.gate else None
                if refused:
                    status, body = refused, {}
                else:
                    status, body = await self.answer(method, target, call.body)
                kind = [("Content-Type", "application/json")]
                writer.write(response(status, kind, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        path = f"{method} {parts.path}"
        if path == "GET /v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "GET /v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "morePages": len(keys) > 500, "asOf": self.revision}
        if path == "GET /v1/kv-watch":
            return await self.watch(query)
        if path == "POST /v1/kv-txn":
            return await self.transact(json.loads(body))
        if path == "POST /v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("POST /v1/kv-keep/"):
            lease = int(parts.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("DELETE /v1/kv-lease-end/"):
            await self.end_lease(int(parts.path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted:
                return 410, {}
            events = [e for e in self.log
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, change):
        rows = change.get("precondition", [])
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in rows):
            held = [self.items[row["key"]] for row in rows if row["key"] in self.items]
            return 412, {"items": held}
        if any(put.get("lease", 0) and put["lease"] not in self.leases
               for put in change.get("puts", [])):
            return 404, {}
        for put in change.get("puts", []):
            await self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in change.get("remove", []):
            await self.write(key, None)
        return 200, {"revision": self.revision}


class Leaf:
    """A leaf: `slots` requests run at a time, `queue` wait, others are turned away.
    Subclasses override `work` and `send`."""

    def __init__(self, record, name, service, slots=4, queue=8, work_s=0.02):
        self.record, self.name, self.service = record, name, service
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.born = int(time.time() * 1000)
        self.running, self.waiting = 0, 0
        self.free = asyncio.Condition()
        self.runs = []  # (time, request id)
        self.server, self.address = None, None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready", sequence=1, zone="colombo-a"):
        return {
            "service": self.service, "address": self.address, "zone": zone, "version": "v1",
            "maxConcurrency": self.slots, "state": state, "warmupLeftMs": 0,
            "sequence": sequence, "born": self.born,
        }

    async def serve(self, reader, writer):
        connection = {"last": None}
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self.handle(request, writer, connection)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request, writer, connection):
        id, target = request.get("request-id"), request.get("target-instance")
        echo = [("Request-Id", id)]
        if target and target != self.name:
            headers = echo + [("Instance-Id", self.name), ("Not-Executed", "1")]
            return await self.send(writer, connection, request, response(421, headers), False)
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.line(f"leaf {self.name} turns away {id}")
            full = echo + [("Not-Executed", "1"), self.load()]
            return await self.send(writer, connection, request, response(503, full), False)
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        self.runs.append((time.monotonic(), id))
        self.record.line(f"leaf {self.name} runs {id}")
        try:
            answer = await self.work(request)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()
        await self.send(writer, connection, request, answer, True)

    def load(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots}")

    def success(self, request, extra=(), status=200):
        id = request.get("request-id")
        body = f"answer to {id} by {self.name}".encode()
        headers = [("Request-Id", id), ("Response-Signature", f"s.{id}.{self.name}"),
                   self.load(), *extra]
        return response(status, headers, body)

    async def work(self, request):
        await asyncio.sleep(self.work_s)
        return self.success(request)

    async def send(self, writer, connection, request, answer, ran):
        writer.write(answer)
        await writer.drain()


class Consumer:
    """A consumer on one kept connection to one node."""

    def __init__(self, record, address):
        self.record = record
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def ask(self, path, id, method="GET", body=b"", deadline_ms=4000, timeout_s=None):
        """Returns the answer, or a word for what happened to the connection: `refused`,
        `closed` or `silent`."""
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.open_connection(
                    self.host, self.port, limit=1 << 24)
            except OSError:
                self.record.line(f"consumer cannot connect for {id}")
                return "refused"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\n")
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.record.line(f"consumer sends {id} {method} {path} to {self.host}")
        timeout_s = timeout_s or deadline_ms / 1000 + 0.5
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            answer = await asyncio.wait_for(read_message(self.reader, True), timeout_s)
        except asyncio.TimeoutError:
            self.close()
            self.record.line(f"consumer gets nothing for {id}")
            return "silent"
        except (ConnectionError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self.close()
            self.record.line(f"consumer sees the connection end for {id}")
            return "closed"
        if "close" in answer.get("connection").lower():
            self.close()
        self.record.line(f"consumer gets {answer.status} for {id}")
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def unused_ip(number):
    """A loopback address of its own for a node; all its ports are free."""
    high, low = divmod(os.getpid() % 60_000, 250)
    return f"127.{100 + number}.{high}.{low + 1}"


class Node:
    """The program of the deploy file as a process, with settings like those of the
    small deployments."""

    def __init__(self, record, store, number=1, zone="colombo-a", bounds=None):
        self.record, self.name = record, f"front-{zone}-{number}"
        self.ip = unused_ip(number)
        self.front, self.ready = f"{self.ip}:8226", f"{self.ip}:8227"
        fixed = {
            "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000,
            "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
            "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000,
            "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 54,
            "recoveryS": 12, **(bounds or {}),
        }
        lines = [
            f"nodeName={self.name}", "role=node", "machineClass=front", "serves=front",
            f"ip={self.ip}", f"zone={zone}", "region=western", "zones.colombo-a=western",
            "zones.kandy-a=central", "zones.galle-a=southern",
            f"bindAddresses.front={self.front}", f"bindAddresses.ready={self.ready}",
            "internalPorts=7740,7755", "bootstrap=true", "limits.cpuShare=0.25",
            "limits.cores=1", "limits.memoryMb=260", "limits.maxFds=4100",
            "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform",
            "entry=virtual_ip", "heartbeatMs=1200",
            *(f"bounds.{name}={value}" for name, value in fixed.items()),
            f"platform.address={store.address}", "platform.form=kv",
            "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
            "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
        ]
        self.folder = Path(tempfile.mkdtemp(prefix="review-node-"))
        self.settings = self.folder / "settings.conf"
        self.settings.write_text("\n".join(lines) + "\n")
        self.process, self.log = None, None

    async def start(self):
        self.log = open(self.folder / "log.txt", "ab")
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            str(NODE), cwd=ROOT, stdout=self.log, stderr=self.log,
            env={**env, "GUAVACOURSE_CONFIG": str(self.settings)})
        self.record.line(f"{self.name} starts")

    async def is_ready(self):
        host, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.line(f"{self.name} gets {signal.Signals(number).name}")

    def running(self):
        return self.process is not None and self.process.returncode is None

    def logged(self, text):
        return [l for l in (self.folder / "log.txt").read_text(errors="replace").splitlines()
                if text in l]

    async def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        if self.log:
            self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout_ms=4000, target_ms=600,
          attempts=2, **rest):
    return {
        "name": name, "hostname": HOST, "prefix": prefix, "type": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 2,
        "maxAttempts": attempts, "service": service, **rest,
    }


def config(version, routes, services, connections=100, limits=None):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/health", "maxConnections": connections,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, **(limits or {})},
    }


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs `case(record, trouble)`, which returns an exit status and a summary. Ends
    everything after 110 s at the latest."""
    if not NODE.exists():
        print("the program of the deploy file is not built")
        sys.exit(CANNOT_RUN)
    record = Record(folder)
    nodes = []

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(record, trouble(), nodes), 110)
        except (Exception, asyncio.CancelledError) as error:
            return CANNOT_RUN, f"the case could not run: {error!r}"
        finally:
            for node in nodes:
                await node.end()

    status, summary = asyncio.run(run())
    for line in (summary, f"exit {status}"):
        record.line(line)
        print(line)
    record.close()
    sys.stdout.flush()
    os._exit(status)
