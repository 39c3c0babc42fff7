"""Stand-ins of the platform's store, of runners and of clients, and a launcher of gateways.

Everything runs on loopback addresses and the real clock. The gateways are started with the
command and the environment of deploy/system.toml.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "site.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


async def read_head(reader):
    """Returns the first line and the headers of a message, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the whole body; raises if it breaks off."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def own_net():
    """Returns the first two numbers of this run's addresses in 127.0.0.0/8."""
    return f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"


class Store:
    """The platform's store: objects by kind and name, lists in pages, watches."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1 << 20

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        # Decides about a write before it is done: (method, kind, name) -> None, or the seconds
        # after which it is carried out, without an answer.
        self.lose_write = lambda method, kind, name: None
        self.writes = []

    async def serve(self, ip):
        self.server = await asyncio.start_server(self.connection, ip, 0, limit=4 << 20)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.addr

    async def put(self, kind, name, spec):
        """Writes an object as the operator, a runner or another writer does."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec:
            return
        self.revision += 1
        created = old["metadata"]["createdRev"] if old else self.revision
        objects[name] = {"metadata": {"name": name, "revision": self.revision, "createdRev": created,
                                      "finalizers": [], "deleting": False},
                         "spec": spec, "status": None}
        await self.note(kind, objects[name], False)

    async def delete(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old:
            self.revision += 1
            old = json.loads(json.dumps(old))
            old["metadata"]["revision"] = self.revision
            await self.note(kind, old, True)
        return old

    async def note(self, kind, obj, deleted):
        self.events.append((self.revision, kind, obj, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def connection(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await self.answer(method, target, body)
                if answer is None:
                    # A connection on which an answer is lost returns nothing further.
                    await asyncio.sleep(3600)
                status, value = answer
                # A lone surrogate in a text stands for a byte that is no UTF-8, as another writer left it.
                body = json.dumps(value, ensure_ascii=False).encode("utf-8", "surrogateescape")
                writer.write(message(status, body,
                                     [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = {}
        for part in query.split("&"):
            key, _, value = part.partition("=")
            args[key] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET":
            return await self.read(kind, name, args)
        self.writes.append((now(), method, kind, name))
        late = self.lose_write(method, kind, name)
        if late is not None:
            self.record.write(f"store: {method} {kind}/{name} gets no answer, done {late} s later")

            async def later():
                await asyncio.sleep(late)
                result = await self.write(method, kind, name, body)
                self.record.write(f"store: late {method} {kind}/{name}: {result[0]}")
            asyncio.ensure_future(later())
            return None
        result = await self.write(method, kind, name, body)
        self.record.write(f"store: {method} {kind}/{name}: {result[0]}")
        return result

    async def read(self, kind, name, args):
        objects = self.kinds.setdefault(kind, {})
        if name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in args:
            return await self.watch(kind, int(args["watch"]), int(args.get("waitMs", 0)) / 1e3)
        items, size, more = [], 0, False
        for key in sorted(objects):
            if key <= args.get("after", ""):
                continue
            weight = len(json.dumps(objects[key]))
            if items and (len(items) >= self.PAGE_ITEMS or size + weight > self.PAGE_BYTES):
                more = True
                break
            items.append(objects[key])
            size += weight
        return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}

    async def watch(self, kind, revision, wait):
        until = time.monotonic() + wait
        while True:
            found = [{"object": o, "deleted": d} for r, k, o, d in self.events
                     if k == kind and r > revision]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def write(self, method, kind, name, body):
        objects = self.kinds.setdefault(kind, {})
        value = json.loads(body) if body else {}
        meta = value.get("metadata", {})
        if method == "POST":
            name = meta["name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects and (method == "DELETE" or meta.get("revision") is not None):
            return 404, {}
        elif meta.get("revision") is not None and objects[name]["metadata"]["revision"] != meta["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            return 200, await self.delete(kind, name)
        await self.put(kind, name, value.get("spec"))
        return 200, objects[name]


class Runner:
    """A sound runner of a plain service or, with `layers`, of a model's layers."""

    def __init__(self, store, record, runner_id, service, zone="east", slots=192, work_s=0.02,
                 layers=0, kind="big", load_s=0.3):
        self.store, self.record = store, record
        self.id, self.service, self.zone = runner_id, service, zone
        self.slots, self.work_s = slots, work_s
        self.layers, self.kind, self.load_s = layers, kind, load_s
        self.held = None
        self.sequence, self.busy, self.running = 0, False, 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrivals = []
        self.runs = []
        self.extra = []
        self.answer_stream = self.sound_stream
        self.events = 40
        self.event_s = 0.03
        self.note_arrivals = True

    async def start(self, ip, register=True):
        self.server = await asyncio.start_server(self.connection, ip, 0, limit=1 << 20)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        if register:
            await self.register()

    def entry(self):
        entry = {"service": self.service, "address": self.addr, "zone": self.zone, "version": "1",
                 "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": 1,
                 "born": self.born}
        if self.layers:
            entry.update(kind=self.kind, stage="both", models=[{"name": "m", "version": 1, "adapters": []}])
            if self.held:
                entry["layers"] = {"from": self.held[0], "to": self.held[1], "version": 1}
        return entry

    async def register(self):
        await self.store.put("servers", self.id, self.entry())

    async def connection(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        expected = headers.get("hemlockwind-expect-instance")
        attempt = headers.get("hemlockwind-attempt-id")
        echo = [("Hemlockwind-Attempt-Id", attempt)] if attempt else []
        if expected not in (None, self.id):
            writer.write(message(421, b"", echo + [("Hemlockwind-Not-Run", "1")]))
            return True
        if target == "/health":
            writer.write(message(200 if self.state == "ready" else 503, b"",
                                 [("Hemlockwind-Instance-Id", self.id)]))
            return True
        if target == "/api/report":
            writer.write(message(200, json.dumps(self.report()).encode()))
            return True
        if target == "/api/order":
            writer.write(message(self.order(json.loads(body))))
            return True
        self.arrivals.append((now(), attempt, headers))
        if self.note_arrivals:
            self.record.write(f"{self.id} gets {attempt} {method} {target}")
        if "hemlockwind-hop-count" in headers:
            return await self.answer_stream(attempt, headers, writer)
        self.running += 1
        self.runs.append((now(), attempt))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        writer.write(message(200, b"done " + attempt.encode(),
                             echo + [("Hemlockwind-Server-Seal", "seal." + self.id)] + self.extra))
        return True

    def report(self):
        value = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                 "busy": self.busy, "sequence": self.sequence, "waiting": 0, "running": self.running,
                 "kvUsedTokens": 0, "kvTotalTokens": 8_000_000, "handles": 0, "pace": 1.0,
                 "stalled": [], "born": self.born, "kind": self.kind}
        if self.held:
            value["layers"] = {"from": self.held[0], "to": self.held[1], "version": 1}
        return value

    def order(self, order):
        if order["operation"] != "place":
            return 404
        wanted = (order["from"], order["to"])
        if self.held == wanted:
            return 200
        if self.busy or order.get("expect", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.busy = True

        async def load():
            await asyncio.sleep(self.load_s)
            self.held, self.busy = wanted, False
            await self.register()
        asyncio.ensure_future(load())
        return 202

    def stream_head(self, attempt):
        return ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                f"Hemlockwind-Attempt-Id: {attempt}\r\nHemlockwind-Server-Seal: seal.{self.id}\r\n\r\n").encode()

    async def sound_stream(self, attempt, headers, writer):
        self.runs.append((now(), attempt))
        self.running += 1
        try:
            await asyncio.sleep(0.05)
            writer.write(self.stream_head(attempt))
            for i in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                event = f"id: {i}\ndata: piece {i} of {attempt}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running -= 1


class Gateway:
    """One machine that runs the gateway."""

    def __init__(self, site, name, ip, zone="east", memory_mb=260, cores=1):
        self.site, self.name, self.ip, self.zone = site, name, ip, zone
        self.memory_mb, self.cores = memory_mb, cores
        self.callers, self.ready = f"{ip}:{site.ports[0]}", f"{ip}:{site.ports[1]}"
        self.process = None
        self.starts = 0

    def settings(self):
        zones = {z: "region" for z in sorted({g.zone for g in self.site.gateways} | {self.zone})}
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "front", "serves": ["front"],
            "ip": self.ip, "zone": self.zone, "region": "region", "zones": zones,
            "listen": {"frontend": self.callers, "readyAddress": self.ready},
            "internalPortRange": [self.site.ports[2], self.site.ports[2] + 15], "seedNodes": [],
            "bootstrap": self.starts == 1, "countsAsLoss": True,
            "limits": {"cpuShare": 0.25, "cpuCores": self.cores, "memoryMb": self.memory_mb,
                       "maxOpenFiles": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "platform", "layers"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
                       "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200,
                       "configApplyMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000,
                       "closedRevocation": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
                       "budgetWindowS": 10, "retryBudgetSlack": 200, "recoverS": 12, "passMs": 120,
                       "againS": 0, "stall_ms": 2000, "requireFencing": False},
            "platform": {"address": self.site.store.addr, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    async def start(self):
        self.starts += 1
        path = os.path.join(self.site.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(self.settings(), f)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["gateway"]
        env = {"PATH": os.environ.get("PATH", ""), "HEMLOCKWIND_SETTINGS": path, **role["env"]}
        self.log_path = os.path.join(self.site.folder, f"{self.name}-{self.starts}.log")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=open(self.log_path, "wb"),
            stderr=asyncio.subprocess.STDOUT)
        self.site.record.write(f"{self.name}: started")

    def signal(self, number):
        self.site.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait(self, timeout):
        code = await asyncio.wait_for(self.process.wait(), timeout)
        self.site.record.write(f"{self.name}: ended with {code}")
        return code

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, "GET", "/api/ready"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def until_ready(self, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                self.site.record.write(f"{self.name}: ready")
                return True
            await asyncio.sleep(0.1)
        self.site.record.write(f"{self.name}: not ready after {timeout} s")
        return False

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()


class Site:
    """A store, gateways and runners, in a temporary folder."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = own_net()
        self.gateways, self.runners = [], []
        base = random.randint(20000, 30000)
        self.ports = (base, base + 1, base + 2)
        self.store = Store(self.record)

    async def begin(self):
        await self.store.serve(f"{self.net}.1")

    def gateway(self, name, zone="east", **more):
        gateway = Gateway(self, name, f"{self.net}.{10 + len(self.gateways)}", zone, **more)
        self.gateways.append(gateway)
        return gateway

    async def runner(self, runner_id, service, **more):
        register = more.pop("register", True)
        runner = Runner(self.store, self.record, runner_id, service, **more)
        await runner.start(f"{self.net}.{100 + len(self.runners)}", register)
        self.runners.append(runner)
        return runner

    async def manifest(self, version, routes, services):
        await self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 30000}})
        self.record.write(f"manifest {version} acknowledged")

    async def end(self):
        for gateway in self.gateways:
            if gateway.is_running():
                try:
                    gateway.process.kill()
                    await gateway.process.wait()
                except ProcessLookupError:
                    pass
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms=1500, target_ms=300, attempts=None, resume=False):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": target_ms, "gapAimMs": 200, "priority": 0, "service": service,
            "maxAttempts": attempts or (1 if kind == "unsafe" else 2), "streamResume": resume,
            "public": True, "stickySessions": kind == "stream"}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 200}


def engine_service(name, layers=20):
    return {"name": name, "healthPath": "/health", "maxConnections": 900, "engine": {
        "kvTokenBytes": 590000, "step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
        "read_per_s": 196000.0, "loads_at_once": 6, "layers": layers, "layerMb": 1750.0, "actBytes": 29500,
        "pipeMbps": 9000, "models": [{"name": "m", "loadS": 1.6}], "usual": {"prompt": 772, "answer": 172},
        "kinds": [{"name": "big", "sizeMb": 72000.0, "pace": 1.4, "readX": 1.0}]}}


async def connect(addr):
    ip, port = addr.rsplit(":", 1)
    return await asyncio.open_connection(ip, int(port), limit=1 << 20)


def request(method, path, attempt=None, deadline_ms=None, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    if attempt:
        lines.append(f"Hemlockwind-Attempt-Id: {attempt}")
    if deadline_ms:
        lines.append(f"Hemlockwind-Deadline-Ms: {deadline_ms}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(addr, method, path, attempt=None, deadline_ms=None, headers=(), body=b""):
    """Sends one request on a connection of its own. Returns the status, the headers and the body."""
    reader, writer = await connect(addr)
    try:
        writer.write(request(method, path, attempt, deadline_ms, headers, body))
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        status = int(head[0].split(" ")[1])
        return status, head[1], await read_body(reader, head[1])
    finally:
        writer.close()


def main(case, folder, limit_s=115):
    """Runs `case(site)`, which returns True if the rule held, False if it was broken, None if the
    case could not run, and exits as the review asks."""
    async def run():
        site = Site(folder)
        try:
            await site.begin()
            return await asyncio.wait_for(case(site), limit_s)
        except asyncio.TimeoutError:
            site.record.say("the case did not end in time")
            return None
        finally:
            await site.end()
    result = asyncio.run(run())
    sys.exit({True: 0, False: 1, None: 2}[result])
