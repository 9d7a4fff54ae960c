"""Stand-ins for a small deployment on loopback: store, workers, clients and gateway processes.

The messages follow PROTOCOL.md and DEPLOY.md. A script creates a `Fleet`, starts stand-ins and
gateways, sends requests with `Client`, and ends everything with `Fleet.close()`.
"""

import asyncio
import base64
import itertools
import json
import logging
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEYS = {"huka270": "xd9dnn2ctnfzs989anu6", "mova118": "pq4ttw81xzzk20sd77ab"}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 10000,
}
BOUNDS = {"grace-s": 8, "retry-budget-ratio": 0.2, "retry-slack": 56, "budget-window-s": 10}


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {
        "name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
        "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "max-attempts": attempts,
        "priority": 2, **more,
    }


def read_only_routes(service="roster-app"):
    """The plain requests of the sheet of dobrescu-gaz."""
    return [
        route("callout-assign", "/pule252/", "unsafe", service, 1200, 150, 1),
        route("roster-read", "/puxa403/", "safe", service, 1200, 150, 2),
    ]


class Record:
    """Everything that was sent, answered and run, in the order in which it happened."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def add(self, what, **facts):
        at = time.monotonic() - self.start
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{at:9.4f} {what} {text}\n")

    def close(self):
        self.file.close()


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        return values[0] if values else default

    @property
    def status(self):
        """@return the status, or 0 if the first line is no status line of HTTP."""
        return int(self.first.split(" ")[1]) if self.first.startswith("HTTP/1.1 ") else 0


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message, on_piece=None):
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            parts.append(piece[:-2])
            if on_piece:
                on_piece(piece[:-2])
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def format_answer(status, reason, headers, body):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


class Server:
    """An HTTP/1.1 server with one coroutine for each connection."""

    def __init__(self, ip, backlog=1024):
        self.ip = ip
        self.backlog = backlog
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, backlog=self.backlog)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.on_connection(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: tables with versions, a feed and atomic writes of rows."""

    TX_S = 0.005

    def __init__(self, ip):
        super().__init__(ip)
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """A write of the operator or of a worker. The caller's next step is its acknowledgement."""
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.set_row(table, key, text, False)

    def drop(self, table, key):
        self.version += 1
        self.set_row(table, key, "", True)

    def set_row(self, table, key, value, tombstone):
        row = {"table": table, "part": "", "key": key, "value": value, "ver": self.version}
        if tombstone:
            self.rows.pop((table, key), None)
            row["tombstone"] = True
        else:
            self.rows[(table, key)] = row
        self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def on_connection(self, reader, writer):
        while True:
            request = await read_body(reader, await read_head(reader))
            status, body = await self.answer(request)
            text = json.dumps(body).encode()
            writer.write(format_answer(status, "Status", [("Content-Type", "application/json")], text))
            await writer.drain()

    async def answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/tarragondyke/rows-get":
            await asyncio.sleep(0.004)
            found = [r for (t, k), r in sorted(self.rows.items())
                     if t == args["table"] and k >= args.get("from", "")]
            return 200, self.page(found[:500], len(found) > 500)
        if path == "/tarragondyke/rows-feed":
            return await self.feed(args["table"], int(args["after"]), int(args["wait-ms"]))
        if method == "POST" and path == "/tarragondyke/rows-tx":
            await asyncio.sleep(self.TX_S)
            self.version += 1
            for row in json.loads(request.body)["set-keys"]:
                self.set_row(row["table"], row["key"], row["value"], False)
            return 200, self.page([], False)
        return 404, {}

    async def feed(self, table, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            rows = [r for r in self.log if r["table"] == table and r["ver"] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self.page(rows, False)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def page(self, rows, more):
        return {"rows": rows, "ver": self.version, "now-ms": int(time.monotonic() * 1000),
                "more-pages": more}


class Worker(Server):
    """A plain worker: runs a request for `work_s`, and drops it when its connection closes."""

    def __init__(self, fleet, name, service, zone, ip, slots=6, work_s=0.03, body=None,
                 backlog=1024):
        super().__init__(ip, backlog)
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.make_body = body or (lambda request: b"answer to " + request.get("Attempt-Id").encode())
        self.running = 0
        self.queue = asyncio.Semaphore(slots)

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": 1,
                "slots": self.slots, "state": state, "cold-remaining-ms": 0, "sequence": 1,
                "born": self.born}

    async def start(self, port=0):
        await super().start(port)
        self.born = int(time.time() * 1000)
        self.fleet.store.put("servers", self.name, self.entry())

    async def on_connection(self, reader, writer):
        while True:
            request = await read_body(reader, await read_head(reader))
            self.fleet.on_passed_on(self, request)
            await self.run(request, writer)

    async def run(self, request, writer):
        run_id = request.get("Attempt-Id")
        if request.get("Expect-Instance", self.name) != self.name:
            writer.write(format_answer(421, "Misdirected Request", [("Instance-Id", self.name)], b""))
            return
        async with self.queue:
            if writer.is_closing():
                return
            self.fleet.on_run(self, request)
            self.running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
            if writer.is_closing():
                self.fleet.record.add("dropped", worker=self.name, id=run_id)
                return
            headers = [("Attempt-Id", run_id), ("Response-Signature", f"sig.{run_id}"),
                       ("Server-Load", f"{self.running},0,{self.slots}"),
                       ("Content-Type", "text/plain"), ("Instance-Id", self.name)]
            answer = format_answer(200, "OK", headers, self.make_body(request))
            if request.first.startswith("HEAD "):
                answer = answer[:answer.index(b"\r\n\r\n") + 4]
            writer.write(answer)
            self.fleet.record.add("worker_answered", worker=self.name, id=run_id)
            await writer.drain()


class Engine(Worker):
    """A model worker: streams `events` events, and rejects a request larger than its memory.

    It has no room for copies of runs.
    """

    EVENT_S = 0.03

    def __init__(self, fleet, name, service, zone, ip, memory=34371, events=3, **options):
        super().__init__(fleet, name, service, zone, ip, slots=24, **options)
        self.memory = memory
        self.events = events

    async def on_connection(self, reader, writer):
        while True:
            request = await read_body(reader, await read_head(reader))
            if "/tarragondyke/" in request.first:
                writer.write(format_answer(503, "Unavailable", [], b"{}"))
                continue
            self.fleet.on_passed_on(self, request)
            await self.run(request, writer)

    async def run(self, request, writer):
        run_id = request.get("Attempt-Id")
        same = [("Attempt-Id", run_id), ("Server-Load", f"{self.running},0,{self.slots},100")]
        if request.get("Expect-Instance", self.name) != self.name:
            writer.write(format_answer(421, "Misdirected Request", [("Instance-Id", self.name)], b""))
            return
        prompt, output = (int(part) for part in request.get("Token-Usage").split(","))
        if prompt + output > self.memory or self.running >= self.slots or request.get("Kv-From"):
            self.fleet.record.add("rejected", worker=self.name, id=run_id)
            writer.write(format_answer(503, "Unavailable", same + [("Not-Executed", "1")], b""))
            return
        self.fleet.on_run(self, request)
        self.running += 1
        try:
            await asyncio.sleep(0.01 + prompt / 14000)
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            head += f"Response-Signature: sig.{run_id}\r\nTransfer-Encoding: chunked\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in same)
            writer.write(head.encode("latin-1") + b"\r\n")
            for event in range(int(request.get("Last-Event-Id") or 0) + 1, self.events + 1):
                text = f"id: {event}\ndata: {run_id} {event}\n\n".encode("latin-1")
                writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                await asyncio.sleep(self.EVENT_S)
                if writer.is_closing():
                    self.fleet.record.add("dropped", worker=self.name, id=run_id)
                    return
            writer.write(b"0\r\n\r\n")
            self.fleet.record.add("worker_answered", worker=self.name, id=run_id)
        finally:
            self.running -= 1


class Gateway:
    """A gateway process, started as the deploy file says, with the settings of its template."""

    def __init__(self, fleet, name, zone, ip, ports, bounds=None, store_address=None, first=True):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.front, self.ready, peers = (f"{ip}:{port}" for port in ports)
        self.settings = fleet.folder / f"{name}.conf"
        self.log = fleet.folder / f"{name}.log"
        values = {
            "node": name, "zone": zone, "listen.front": self.front, "listen.ready": self.ready,
            "ip": ip, "internal-ports.0": str(ports[2]), "bootstrap": "true" if first else "false",
            "platform.address": store_address or fleet.store.address,
            **{f"bounds.{k}": str(v) for k, v in {**BOUNDS, **(bounds or {})}.items()},
        }
        template = (ROOT / "deploy/gateway.toml.in").read_text()
        self.settings.write_text(re.sub(r"\{\{([a-z0-9.-]+)\}\}", lambda m: values[m[1]], template))
        self.process = None

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        run = re.search(r'^run = "(.*)"$', deploy, re.M)[1]
        command = [word.replace("/etc/tarragondyke/boot.conf", str(self.settings))
                   for word in run.split(" ")]
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=open(self.log, "w"),
            stderr=subprocess.STDOUT, env={"PATH": os.environ["PATH"]})
        self.fleet.record.add("gateway_started", gateway=self.name, pid=self.process.pid)

    def signal(self, number):
        self.fleet.record.add("signal", gateway=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    def exit_code(self):
        return self.process.poll()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*split(self.ready))
            writer.write(b"GET /tarragondyke/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def split(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


class Fleet:
    """Owns all stand-ins and processes of a script, its record and its temporary folder."""

    def __init__(self, case_folder, routes, services):
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="tarragon-review-"))
        self.net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.hosts = itertools.count(10)
        self.ids = itertools.count(1)
        self.runs = {}
        self.run_times = []
        self.passed_on = set()
        self.routes = routes
        self.services = services
        self.keys = dict(KEYS)
        self.config_version = 0
        self.store = None
        self.workers = []
        self.gateways = []

    def next_ip(self):
        return f"{self.net}.{next(self.hosts)}"

    def new_id(self):
        return f"{next(self.ids):08x}{random.getrandbits(32):08x}"

    async def start_store(self):
        self.store = Store(self.next_ip())
        await self.store.start()
        self.write_config()

    def write_config(self):
        self.config_version += 3
        self.store.put("op", "config", {
            "version": self.config_version, "routes": self.routes, "services": self.services,
            "limits": LIMITS,
            "tenants": [{"name": name, "api-keys": [key]} for name, key in self.keys.items()]})
        self.record.add("config_acknowledged", version=self.config_version)

    async def add_worker(self, name, service, zone, kind=Worker, **options):
        worker = kind(self, name, service, zone, self.next_ip(), **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    def add_gateway(self, name, zone, **options):
        base = random.randrange(20000, 30000)
        gateway = Gateway(self, name, zone, self.next_ip(), (base, base + 1, base + 2), **options)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def until_ready(self, gateways=None, limit_s=10):
        end = time.monotonic() + limit_s
        for gateway in gateways or self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end or gateway.exit_code() is not None:
                    raise CannotRun(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.05)

    def on_passed_on(self, worker, request):
        self.passed_on.add(request.get("Attempt-Id"))

    def on_run(self, worker, request):
        run_id = request.get("Attempt-Id")
        self.runs.setdefault(run_id, []).append(worker.name)
        self.run_times.append((run_id, worker.name, time.monotonic()))
        self.record.add("run", worker=worker.name, id=run_id, tenant=request.get("Tenant"),
                        target=request.first.split(" ")[1])

    async def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for server in self.workers + [self.store]:
            if server:
                server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class CannotRun(Exception):
    pass


def request_bytes(fleet, method, target, deadline_ms, request_id, headers=(), body=b"",
                  tenant="huka270"):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {request_id}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Token {KEYS[tenant]}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """One connection of a client to a gateway."""

    def __init__(self, fleet, gateway, name):
        self.fleet = fleet
        self.gateway = gateway
        self.name = name

    async def connect(self, **options):
        self.reader, self.writer = await asyncio.open_connection(*split(self.gateway.front),
                                                                 **options)
        return self

    def send(self, data, request_id):
        self.fleet.record.add("sent", client=self.name, gateway=self.gateway.name, id=request_id)
        self.writer.write(data)

    async def answer(self, timeout_s, to_head=False):
        """@return the next answer, or None if the connection ended without a whole one."""
        try:
            head = await asyncio.wait_for(read_head(self.reader), timeout_s)
            if not head.first.startswith("HTTP/1.1 "):
                self.fleet.record.add("no_http_answer", client=self.name, line=repr(head.first))
                return head
            if not to_head:
                await asyncio.wait_for(read_body(self.reader, head), timeout_s)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.fleet.record.add("closed", client=self.name, error=type(error).__name__)
            return None
        except asyncio.TimeoutError:
            self.fleet.record.add("no_answer", client=self.name, after_s=timeout_s)
            return None
        self.fleet.record.add("answered", client=self.name, status=head.status,
                              id=head.get("Attempt-Id", "-"),
                              signature=head.get("Response-Signature", "-"), bytes=len(head.body))
        return head

    def close(self):
        self.writer.close()


def main(case_folder, play):
    """Runs `play(fleet_folder, trouble)`, which returns whether the rule held."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(play(case_folder, trouble), 115)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        leave(2)
    print("the rule held" if held else "the rule was broken")
    leave(0 if held else 1)


def leave(code):
    """Exits without the messages of streams that are collected after their event loop."""
    sys.stdout.flush()
    os._exit(code)
