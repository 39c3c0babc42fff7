"""Stand-ins for the platform around the gateway: its store, its servers, its clients and its
process manager. They follow the protocol pages; each scenario sets only its disruption.

All addresses are loopback addresses, and all processes that are started here are ended here.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "site.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# The bounds of the two sites that the users' page describes.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
    "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerBoundMs": 5000, "closedRevocation": False, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 200, "recoverS": 12,
    "passMs": 120, "againS": 0, "stall_ms": 2000, "requireFencing": False,
}
CONTACT_S = BOUNDS["contactMs"] / 1e3
FRONT_PORT, READY_PORT, CONTROL_PORT = 8227, 8220, 8229
INTERNAL_PORTS = (7340, 7355)
STORE_PORT, SERVER_PORT = 8223, 8080
HEARTBEAT_S = 1.2
REASONS = {200: "OK", 201: "Created", 202: "Accepted"}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Addresses:
    """Loopback addresses, one for each machine, in a block that is free."""

    def __init__(self):
        for _ in range(100):
            self.block = f"127.{random.randint(130, 250)}.{random.randint(1, 250)}"
            if all(is_free(f"{self.block}.{n}") for n in (1, 2, 3)):
                break
        self.number = 0

    def next(self):
        self.number += 1
        return f"{self.block}.{self.number}"


def is_free(ip):
    for port in (FRONT_PORT, READY_PORT, STORE_PORT, SERVER_PORT, *INTERNAL_PORTS):
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((ip, port))
            except OSError:
                return False
    return True


async def read_head(reader):
    """Returns the first line and the headers of a message, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Service:
    """A listener that serves one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(
            self.connection, ip, port, backlog=512, limit=1 << 18, reuse_address=True
        )

    def stop(self):
        """Closes the listener and all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def connection(self, reader, writer):
        task = asyncio.current_task()
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            while (message := await read_head(reader)) is not None:
                first, headers = message
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError

    @staticmethod
    async def answer(writer, status, headers, body=b""):
        writer.write(head(status, {**headers, "Content-Length": len(body)}) + body)
        await writer.drain()
        return True


class Store(Service):
    """The platform's metadata store. `loses` may pick answers that are lost: nothing further
    comes on such a connection, and it stays open."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Event()
        self.cut = asyncio.Event()
        self.loses = lambda method, kind, query, answer: False
        self.answers = 0
        self.lost = 0

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        """Writes an object; returns when the store has acknowledged it."""
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old["spec"] == spec:
            return self.record.now()
        self.revision += 1
        created = old["metadata"]["createdRev"] if old else self.revision
        objects[name] = {
            "metadata": {"name": name, "revision": self.revision, "createdRev": created,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None,
        }
        self.history.append((self.revision, kind, objects[name], False))
        self.notify()
        return self.record.now()

    def remove(self, kind, name):
        old = self.objects.get(kind, {}).pop(name, None)
        if old is not None:
            self.revision += 1
            self.history.append((self.revision, kind, old, True))
            self.notify()
        return self.record.now()

    def cut_watches(self):
        """Cuts off the watches that are waiting."""
        cut, self.cut = self.cut, asyncio.Event()
        cut.set()
        self.notify()

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        parts = path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            status, answer = await self.watch(kind, query)
            if status is None:
                self.record.line(f"store: watch of {kind} cut off")
                return False
        else:
            status, answer = self.call(method, kind, name, query, body)
        self.answers += 1
        if self.loses(method, kind, query, answer):
            self.lost += 1
            self.record.line(f"store: answer lost: {method} {target} {json.dumps(answer)[:160]}")
            await reader.read()
            return False
        # A text may hold bytes that another writer left; they are passed on as they are.
        text = json.dumps(answer, ensure_ascii=False).encode("utf-8", "surrogateescape")
        return await self.answer(writer, status, {"Content-Type": "application/json"}, text)

    async def watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1e3
        cut = self.cut
        while True:
            if cut.is_set():
                return None, {}
            changed = self.changed
            events = [{"object": o, "deleted": d} for r, k, o, d in self.history
                      if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def call(self, method, kind, name, query, body):
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and name is None:
            after = query.get("after", "")
            names = sorted(n for n in objects if n > after)
            items = [objects[n] for n in names[:500]]
            return 200, {"items": items, "hasMore": len(names) > 500,
                         "storeRevision": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            self.remove(kind, name)
            return 200, {}
        sent = json.loads(body)
        name = name or sent["metadata"]["name"]
        expected = sent.get("metadata", {}).get("revision")
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, {}
        if expected is not None and expected != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        self.put(kind, name, sent["spec"])
        return 200, objects[name]


class Server(Service):
    """A plain server: answers one whole body after a short time."""

    def __init__(self, site, name, service, ip, zone):
        super().__init__()
        self.site, self.record, self.store = site, site.record, site.store
        self.name, self.service, self.ip, self.zone = name, service, ip, zone
        self.state = "ready"
        self.born = int(time.time() * 1e3)
        self.runs = []
        self.work_s = 0.06

    @property
    def address(self):
        return f"{self.ip}:{SERVER_PORT}"

    @property
    def is_up(self):
        return self.server is not None

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": self.state, "coldRemainingMs": 0,
                "born": self.born}

    async def start(self):
        await self.listen(self.ip, SERVER_PORT)
        self.register()

    def register(self):
        return self.store.put("servers", self.name, self.entry())

    def leave(self):
        """Reports `draining`; returns the time of the store's acknowledgement."""
        self.state = "draining"
        at = self.register()
        self.record.line(f"{self.name}: draining, acknowledged")
        return at

    def own(self, headers):
        """Returns the headers of each answer to a client's request."""
        own = {"Hemlockwind-Attempt-Id": headers.get("hemlockwind-attempt-id", ""),
               "Hemlockwind-Server-Seal": SEAL, "Keep-Alive": "timeout=5"}
        if self.state == "draining":
            own["Server-Leaving"] = "1"
        return own

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/health":
            return await self.answer(writer, 200 if self.state == "ready" else 503,
                                     {"Hemlockwind-Instance-Id": self.name})
        expected = headers.get("hemlockwind-expect-instance", self.name)
        if expected != self.name:
            return await self.answer(writer, 421, self.refusal(headers))
        return await self.serve(target, headers, body, reader, writer)

    def refusal(self, headers, at_fault=None):
        own = {**self.own(headers), "Hemlockwind-Not-Run": "1",
               "At-Server": at_fault or self.address}
        del own["Hemlockwind-Server-Seal"]
        return own

    async def serve(self, target, headers, body, reader, writer):
        attempt = headers.get("hemlockwind-attempt-id")
        self.runs.append((self.record.now(), attempt))
        self.record.line(f"{self.name}: runs {attempt}")
        await asyncio.sleep(self.work_s)
        return await self.answer(writer, 200, self.own(headers), body or b"ok")


class Engine(Server):
    """A model server: holds a range of layers and answers with a stream of events."""

    def __init__(self, site, name, service, ip, zone):
        super().__init__(site, name, service, ip, zone)
        self.layers = None
        self.orders = 0
        self.is_busy = False
        self.paths = {}
        # The requests that reached it and were not refused, and when.
        self.arrivals = []
        self.event_s = 0.03
        self.first_event_s = 0.1
        # The part of a prompt on which it crashes when it begins to write an answer.
        self.crash_part = None
        self.crashes = []
        self.down_s = 2.0
        # Called with the attempt and the number of the next event; true loses the answer.
        self.loses = lambda attempt, event: False
        # Called with the attempt and the number of the next event; true spoils its data.
        self.spoils = lambda attempt, event: False

    def entry(self):
        layers = self.layers and {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return {**super().entry(), "slots": 192, "kind": "big", "layers": layers}

    def crash(self):
        """Ends without notice. A later process starts empty at the same address."""
        self.record.line(f"{self.name}: crashed")
        self.crashes.append(self.record.now())
        self.stop()
        self.layers, self.orders, self.is_busy, self.paths = None, 0, False, {}
        self.site.spawn(self.restart())

    async def restart(self):
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1e3)
        await self.start()
        self.record.line(f"{self.name}: started again")

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/api/report":
            return await self.report(writer)
        if target == "/api/order":
            return await self.order(json.loads(body), writer)
        return await super().handle(method, target, headers, body, reader, writer)

    async def report(self, writer):
        layers = self.layers and {"from": self.layers[0], "to": self.layers[1], "version": 1}
        stalled = [{"id": a, "address": s.address} for a, path in self.paths.items()
                   for s, _, _ in path if not s.is_up]
        report = {"stage": "both", "models": [], "busy": self.is_busy, "sequence": self.orders,
                  "waiting": 0, "running": len(self.paths), "kvUsedTokens": 1000,
                  "kvTotalTokens": 3_000_000, "handles": 0, "pace": 1.0, "layers": layers,
                  "kind": "big", "born": self.born, "stalled": stalled}
        return await self.answer(writer, 200, {"Content-Type": "application/json"},
                                 json.dumps(report).encode())

    async def order(self, order, writer):
        if order.get("operation") == "repath":
            path = self.parse(order["path"])
            if order["id"] not in self.paths:
                return await self.answer(writer, 404, {})
            self.paths[order["id"]] = path
            return await self.answer(writer, 202, {})
        layers = (order["from"], order["to"])
        if order.get("expect", self.orders) != self.orders or self.is_busy:
            return await self.answer(writer, 409, {})
        if layers == self.layers:
            return await self.answer(writer, 200, {})
        self.orders += 1
        self.is_busy = True
        self.site.spawn(self.load(layers, self.born))
        return await self.answer(writer, 202, {})

    async def load(self, layers, born):
        await asyncio.sleep(0.3)
        if self.born == born and self.is_up:
            self.layers, self.is_busy = layers, False
            self.register()

    def parse(self, text):
        path = []
        for part in text.split(","):
            address, _, layers = part.partition("=")
            start, _, end = layers.partition("-")
            path.append((self.site.by_address[address], int(start), int(end)))
        return path

    async def serve(self, target, headers, body, reader, writer):
        attempt = headers["hemlockwind-attempt-id"]
        hops = headers.get("hemlockwind-hop-count")
        path = self.parse(hops) if hops else [(self, 0, self.site.layers)]
        for stage, start, end in path:
            held = stage.layers
            if stage.is_up and not (held and held[0] <= start and end <= held[1]):
                return await self.answer(writer, 421, self.refusal(headers, stage.address))
            if not stage.is_up or stage.state == "draining":
                return await self.answer(writer, 503, self.refusal(headers, stage.address))
        self.record.line(f"{self.name}: received {attempt}")
        self.arrivals.append((self.record.now(), attempt))
        self.paths[attempt] = path
        try:
            return await self.write_events(attempt, headers, writer)
        finally:
            self.paths.pop(attempt, None)

    async def write_events(self, attempt, headers, writer):
        tokens = int(headers.get("hemlockwind-token-counts", "100,20").split(",")[1])
        parts = headers.get("hemlockwind-prompt-prefix", "").split(",")
        has_crash_part = any(p.split(":")[0] == self.crash_part for p in parts)
        after = int(headers.get("last-event-id", 0))
        await asyncio.sleep(self.first_event_s)
        self.runs.append((self.record.now(), attempt))
        self.record.line(f"{self.name}: runs {attempt} after event {after}")
        if has_crash_part:
            self.crash()
            return False
        begun = False
        for event in range(after + 1, tokens // 2 + 1):
            if event > after + 1:
                await asyncio.sleep(self.event_s)
            if self.loses(attempt, event):
                self.record.line(f"{self.name}: loses the answer to {attempt} at event {event}")
                writer.transport.abort()
                return False
            if not begun:
                begun = True
                writer.write(head(200, {**self.own(headers), "Content-Type": "text/event-stream",
                                        "Transfer-Encoding": "chunked"}))
            text = b"\xc3token" if self.spoils(attempt, event) else b"token"
            data = b"id: %d\ndata: %s %d\n\n" % (event, text, event)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        if not begun:
            writer.write(head(200, {**self.own(headers), "Content-Type": "text/event-stream",
                                    "Transfer-Encoding": "chunked"}))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Gateway:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.ip = site.addresses.next()
        self.process = None
        self.log = site.folder / f"{name}.log"

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        settings = self.site.folder / f"{self.name}.json"
        settings.write_text(json.dumps(self.settings()))
        env = {**deploy.get("env", {}), "HEMLOCKWIND_SETTINGS": str(settings),
               "PATH": os.environ.get("PATH", ""), "HOME": str(self.site.folder)}
        command = deploy["run"].split(" ")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / command[0]), *command[1:], cwd=ROOT, env=env,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.site.record.line(f"{self.name}: started as {self.ip}")

    def settings(self):
        site = self.site
        seeds = [f"{g.ip}:{CONTROL_PORT}" for g in site.gateways[:3]]
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "front",
            "serves": ["front"], "ip": self.ip, "zone": self.zone, "region": "region",
            "zones": {z: "region" for z in site.zones},
            "listen": {"frontend": f"{self.ip}:{FRONT_PORT}",
                       "readyAddress": f"{self.ip}:{READY_PORT}"},
            "internalPortRange": INTERNAL_PORTS, "seedNodes": seeds, "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxOpenFiles": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": int(HEARTBEAT_S * 1e3), "contracts": [],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": f"{site.store_ip}:{STORE_PORT}", "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.site.record.line(f"{self.name}: killed")

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                call((self.ip, READY_PORT), "GET", "/api/ready", {}), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, limit=10.0):
        until = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case couldn't be run."""


class Answer:
    """What a client has seen: the status, whether the answer was complete, and its events."""

    def __init__(self, status=None, headers=None, body=b"", is_complete=False, first_at=None):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_complete, self.first_at = is_complete, first_at

    def __str__(self):
        state = "complete" if self.is_complete else "broken off"
        return f"{self.status} {state} {self.body[:80]!r}" if self.status != 200 else \
            f"{self.status} {state} {len(self.body)} bytes"


class Client:
    """A client's connection to an address, kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.streams = None

    async def request(self, method, target, headers, body=b"", on_begin=lambda: None):
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address, limit=1 << 18)
        reader, writer = self.streams
        fields = {"Host": HOST, **headers}
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = Answer()
        try:
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                raise ConnectionError
            first, answer.headers = message
            answer.status = int(first.split(" ")[1])
            on_begin()
            await self.read(reader, answer)
            answer.is_complete = True
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    @staticmethod
    async def read(reader, answer):
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return
        if "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await reader.read()

    def close(self):
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


async def call(address, method, target, headers, body=b""):
    """Sends one request on a connection of its own."""
    client = Client(address)
    try:
        return await client.request(method, target, headers, body)
    finally:
        client.close()


class Site:
    """A small deployment: the store, servers, the gateways and the operator's manifest."""

    def __init__(self, folder, zones=("north",), layers=8):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.addresses = Addresses()
        self.zones, self.layers = zones, layers
        self.store = Store(self.record)
        self.store_ip = self.addresses.next()
        self.by_address = {}
        self.servers, self.gateways = [], []
        self.tasks = set()
        self.version = 0
        self.attempts = 0

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, gateways, engines=0, plain=0):
        """Starts everything, and waits until the gateways are ready."""
        if not (ROOT / "target/release/hemlockwind-gateway").exists():
            raise CannotRun("the gateway isn't built")
        await self.store.listen(self.store_ip, STORE_PORT)
        for kind, service, count in ((Engine, "drafts", engines), (Server, "ledger", plain)):
            for number in range(count):
                await self.add(kind, f"{service}-{number + 1}", service)
        self.configure()
        for number in range(gateways):
            zone = self.zones[number % len(self.zones)]
            self.gateways.append(Gateway(self, f"front-{zone}-{number + 1}", zone))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        # Until all engines are loaded, and for the time that makes all machines be in touch.
        until = time.monotonic() + 20
        while any(isinstance(s, Engine) and s.layers is None for s in self.servers):
            if time.monotonic() > until:
                raise CannotRun("the engines got no layers")
            await asyncio.sleep(0.1)
        await asyncio.sleep(CONTACT_S + 0.5)

    async def add(self, kind, name, service):
        zone = self.zones[len(self.servers) % len(self.zones)]
        server = kind(self, name, service, self.addresses.next(), zone)
        self.by_address[server.address] = server
        self.servers.append(server)
        await server.start()
        return server

    def engines(self):
        return [s for s in self.servers if isinstance(s, Engine)]

    def plain(self):
        return [s for s in self.servers if not isinstance(s, Engine)]

    def configure(self, change=lambda manifest: None):
        """Writes the next version of the manifest; returns the time of the acknowledgement."""
        self.version += 3
        def route(name, kind, service, priority, timeout, target):
            return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
                    "service": service, "priority": priority, "timeoutMs": timeout,
                    "targetLatencyMs": target, "maxAttempts": 1 if kind == "unsafe" else 2}
        notes = {**route("notes", "stream", "drafts", 0, 20000, 500), "gapAimMs": 200,
                 "streamResume": True, "stickySessions": True}
        manifest = {
            "version": self.version,
            "routes": [notes, route("writes", "unsafe", "ledger", 2, 800, 300),
                       route("reads", "safe", "ledger", 2, 800, 300)],
            "services": [
                {"name": "drafts", "healthPath": "/health", "maxConnections": 908, "engine": {
                    "models": [{"name": "m0", "loadS": 0.3}], "kvTokenBytes": 590000.0,
                    "step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
                    "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "stride": 2,
                    "loads_at_once": 16, "report_lag_ms": 200, "usual": {"prompt": 200, "answer": 20},
                    "layers": self.layers, "layerMb": 1750.0, "actBytes": 29500.0,
                    "pipeMbps": 9000.0, "linkMbps": 480000.0,
                    "kinds": [{"name": "big", "sizeMb": 72000.0, "pace": 1.4, "readX": 1.0}]}},
                {"name": "ledger", "healthPath": "/health", "maxConnections": 110},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        }
        change(manifest)
        at = self.store.put("config", "main", manifest)
        self.record.line(f"operator: manifest {self.version} acknowledged")
        return at

    def attempt(self):
        self.attempts += 1
        return f"{self.attempts:04x}{random.getrandbits(32):08x}"

    def headers(self, attempt, parts=None, tokens="200,20", deadline=20000):
        headers = {"Hemlockwind-Attempt-Id": attempt, "Authorization": f"Bearer {KEY}",
                   "Hemlockwind-Deadline-Ms": deadline}
        if parts is not None:
            headers |= {"Hemlockwind-Model": "m0", "Hemlockwind-Token-Counts": tokens,
                        "Hemlockwind-Prompt-Prefix": ",".join(f"{p}:40" for p in parts)}
        return headers

    async def stream(self, gateway, parts, tokens="200,20", client=None, note=""):
        """Sends one stream; returns its attempt and what the client has seen."""
        attempt = self.attempt()
        self.record.line(f"client: sends {attempt} to {gateway.name} {note}{','.join(parts)}")
        connection = client or Client((gateway.ip, FRONT_PORT))
        try:
            answer = await asyncio.wait_for(
                connection.request("POST", "/notes/2f", self.headers(attempt, parts, tokens),
                                   b"x" * 200), 25)
        except (OSError, asyncio.TimeoutError):
            answer = Answer()
        if client is None:
            connection.close()
        self.record.line(f"client: {attempt} got {answer}")
        return attempt, answer

    async def plain_call(self, gateway, method, target):
        """Sends one plain call; returns its attempt and what the client has seen."""
        attempt = self.attempt()
        self.record.line(f"client: sends {attempt} to {gateway.name} {method} {target}")
        body = b"x" * 600 if method == "POST" else b""
        try:
            answer = await asyncio.wait_for(
                call((gateway.ip, FRONT_PORT), method, target,
                     self.headers(attempt, deadline=1500), body), 3)
        except (OSError, asyncio.TimeoutError):
            answer = Answer()
        self.record.line(f"client: {attempt} got {answer}")
        return attempt, answer

    async def close(self):
        for gateway in self.gateways:
            await gateway.kill()
        self.store.stop()
        for server in self.servers:
            server.stop()
        for task in list(self.tasks):
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, scenario, limit=110):
    """Runs a scenario `(site, has_trouble) -> is_broken`. Exits with 1 if the rule was broken,
    0 if it held, and 2 if the case couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(folder)
        try:
            return site, await asyncio.wait_for(scenario(site, has_trouble), limit)
        finally:
            await site.close()

    try:
        site, is_broken = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as e:
        print(f"the case couldn't run: {type(e).__name__} {e}")
        sys.exit(2)
    site.record.line("result: the rule was broken" if is_broken else "result: the rule held")
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
