"""Stand-ins for the platform, backend servers and callers of the relay.

They follow the users' pages: the store answers the calls of its clients
linearizably, a server runs each request that it accepts once, and a caller
keeps its connections open and gives each attempt an identifier of its own.
"""

import asyncio
import base64
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
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STOPPED_WITHIN_S = 2.0
CONNECT_TIMEOUT_S = 1.0

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def note(self, event, **fields):
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:9.4f} {event} {words}\n")

    def close(self):
        self.file.close()


# HTTP/1.1 messages


async def read_head(reader):
    """Returns the first line and the header fields, in lower case; None at the
    end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Message:
    def __init__(self, line, fields, body):
        self.line = line
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.line.split(" ")[1])

    @property
    def method(self):
        return self.line.split(" ")[0]

    @property
    def target(self):
        return self.line.split(" ")[1]


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    try:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(line, fields, body)


def response(status, reason, fields, body=b""):
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{name}: {value}" for name, value in fields.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """A server on a loopback address that handles each connection by serve()."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.listener = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(
            self.accept, self.ip, self.port, limit=1 << 20
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self, ip):
        super().__init__(ip)
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        # Instances, by source address, whose calls get no answer.
        self.cut = set()

    async def write(self, puts, removals=()):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.history.append(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {"key": key, "revision": self.revision, "removed": True}
                )
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, document):
        return await self.write([(key, json.dumps(document).encode(), 0)])

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ends, _) in list(self.leases.items()):
                if ends <= now:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.write([], keys)
        return True

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        while True:
            message = await read_message(reader)
            if message is None:
                return
            status, document = await self.call(message)
            while peer in self.cut:
                await asyncio.sleep(0.05)
            body = json.dumps(document).encode()
            writer.write(
                response(status, "Status", {"Content-Type": "application/json"}, body)
            )
            await writer.drain()

    async def call(self, message):
        url = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if url.path == "/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [self.items[k] for k in keys[:500]]
            return 200, {
                "items": page,
                "has_more": len(keys) > 500,
                "current_rev": self.revision,
            }
        if url.path == "/kv-watch":
            return 200, await self.watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
            )
        if url.path == "/kv-txn":
            return await self.transact(json.loads(message.body))
        if url.path == "/kv-lease":
            ttl = json.loads(message.body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if url.path.startswith("/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if url.path.startswith("/kv-lease-end/"):
            ended = await self.end_lease(int(url.path.rsplit("/", 1)[1]))
            return (200 if ended else 404), {}
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        deadline = time.monotonic() + wait_s

        def events():
            return [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]

        async with self.changed:
            while not events():
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        return {"events": events(), "current_rev": self.revision}

    async def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body.get("puts", []):
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        puts = [
            (p["key"], base64.b64decode(p["value"]), p["lease"])
            for p in body.get("puts", [])
        ]
        return 200, {"revision": await self.write(puts, body.get("remove", []))}


class Server(Listener):
    """A backend server: runs each request once, for work_s, in one of its slots.
    Beyond its queue it turns requests away, not run."""

    def __init__(self, ip, ident, service, zone, record, slots=4, queue=16, work_s=0.0):
        super().__init__(ip)
        self.ident = ident
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.work_s = work_s
        self.admitted = 0
        # Identifiers of the requests that were run, in order.
        self.runs = []
        self.received = []

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slot_count,
            "state": state,
            "warmup_left_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    async def register(self, store):
        self.born = int(time.time() * 1000)
        await store.put(f"servers/{self.ident}", self.entry())

    def load(self):
        running = min(self.admitted, self.slot_count)
        return f"{running},{self.admitted - running},{self.slot_count}"

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            await self.answer(message, writer)

    async def answer(self, message, writer):
        writer.write(await self.handle(message))
        await writer.drain()

    async def handle(self, message):
        ident = message.fields.get("request-id", "-")
        self.received.append(ident)
        target = message.fields.get("target-instance")
        if target is not None and target != self.ident:
            return response(
                421,
                "Misdirected Request",
                {"Request-Id": ident, "Instance-Id": self.ident},
            )
        if self.admitted >= self.slot_count + self.queue:
            self.record.note("turned_away", server=self.ident, request=ident)
            return response(
                503,
                "Service Unavailable",
                {
                    "Request-Id": ident,
                    "Not-Executed": "1",
                    "Server-Load": self.load(),
                },
            )
        self.admitted += 1
        try:
            async with self.slots:
                self.runs.append(ident)
                self.record.note(
                    "run", server=self.ident, request=ident, target=message.target
                )
                await asyncio.sleep(self.work_time(message))
        finally:
            self.admitted -= 1
        return self.success(ident)

    def work_time(self, message):
        return self.work_s

    def success(self, ident):
        return response(
            200,
            "OK",
            {
                "Request-Id": ident,
                "Server-Stamp": f"{self.ident}.{ident}",
                "Server-Load": self.load(),
            },
            f"{self.ident} {ident}".encode(),
        )


# Callers


class Answer:
    """What a caller has seen of one attempt."""

    def __init__(self, ident, message, sent_at):
        self.ident = ident
        self.status = message.status if message is not None else None
        self.message = message
        self.sent_at = sent_at
        self.ended_at = time.monotonic()


class Caller:
    """A caller with one connection that it keeps open."""

    def __init__(self, address, host, record):
        self.ip, port = address.split(":")
        self.port = int(port)
        self.host = host
        self.record = record
        self.reader = None
        self.writer = None
        self.used = 0

    async def ask(self, method, path, deadline_ms, body=b"", fields=None):
        """Sends one attempt. The answer has no status if the connection ended
        without one; None if no connection could be established."""
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, self.port, limit=1 << 20),
                    CONNECT_TIMEOUT_S,
                )
            except (OSError, asyncio.TimeoutError):
                return None
            self.used = 0
        ident = f"{random.getrandbits(64):016x}"
        head = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self.host}",
            f"Request-Id: {ident}",
            f"Deadline-Ms: {deadline_ms}",
        ]
        head += [f"{name}: {value}" for name, value in (fields or {}).items()]
        if method != "GET":
            head.append(f"Content-Length: {len(body)}")
        sent_at = time.monotonic()
        self.record.note("sent", request=ident, method=method, path=path)
        message = None
        self.used += 1
        try:
            self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            message = await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + 1.0
            )
        except (OSError, asyncio.TimeoutError):
            pass
        answer = Answer(ident, message, sent_at)
        self.record.note(
            "answered", request=ident, status=answer.status if message else "none"
        )
        if message is None or message.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = self.reader = None


# Processes of the relay


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def render(text, fields):
    """Fills in the placeholders of a settings template."""

    def value_of(path):
        value = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return value

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = value_of(path)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, text)


def deploy_command():
    """The command that the deploy file starts the relay with."""
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    return re.search(r'^run = "([^"]+)"', text, re.M).group(1).split(" ")


class Instance:
    """One process of the relay, which is started again when it ends."""

    def __init__(self, ip, name, zone, zones, store, folder, record, bounds=None):
        self.ip = ip
        self.name = name
        self.record = record
        self.caller_address = f"{ip}:{free_port(ip)}"
        self.ready_address = f"{ip}:{free_port(ip)}"
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.json"
        self.process = None
        self.keeper = None
        # Ends that nobody asked for.
        self.own_ends = []
        self.wanted = False
        fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen": {"front": self.caller_address, "ready": self.ready_address},
            "port_range": [free_port(ip), 0],
            "limits": {
                "cpu_share": 0.25,
                "memory_mb": 260,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "platform": {"address": store.address},
            "bounds": {
                "drain_ms": 3000,
                "grace_s": 6,
                "retry_budget_ratio": 0.2,
                "budget_extra": 58,
                "budget_window_s": 10,
                **(bounds or {}),
            },
        }
        template = (ROOT / "deploy/settings.json").read_text(encoding="utf-8")
        self.settings.write_text(render(template, fields), encoding="utf-8")
        self.environment = {
            "PATH": os.environ.get("PATH", ""),
            "QUETZALLEAD_ZONE_REGIONS": json.dumps(zones),
        }

    async def start(self):
        self.wanted = True
        await self.spawn()
        self.keeper = asyncio.create_task(self.keep())

    async def spawn(self):
        command = deploy_command()
        program = ROOT / command[0]
        if not program.exists():
            raise NotRun(f"{command[0]} has not been built")
        arguments = [str(program)]
        for word in command[1:]:
            arguments.append(
                str(self.settings) if word.endswith("/local.yaml") else word
            )
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *arguments,
                cwd=ROOT,
                env=self.environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note("started", instance=self.name)

    async def keep(self):
        """Starts the process again after a short delay, as the platform does."""
        while True:
            code = await self.process.wait()
            if not self.wanted:
                return
            self.own_ends.append((time.monotonic(), code))
            self.record.note("ended_by_itself", instance=self.name, code=code)
            await asyncio.sleep(0.5)
            await self.spawn()

    def signal(self, number):
        self.process.send_signal(number)

    async def ready(self):
        ip, port = self.ready_address.split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return message is not None and message.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=15.0):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} is not ready after {timeout_s} s")

    async def stop(self):
        self.wanted = False
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.keeper is not None:
            self.keeper.cancel()


def loopback():
    """An address of a network of this run's own."""
    prefix = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
    return lambda host: f"{prefix}.{host}"


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def single_route(name, host, prefix, service, kind, timeout_ms, slo_ms, attempts=2):
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "type": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": slo_ms,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
    }


def service(name, max_conns=110):
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": max_conns,
        "protocol": "h1",
        "tls": False,
    }


def run_case(folder, play):
    """Runs play(record, scratch folder, disrupted) and exits with its result: 1
    if it returns a list of violations that is not empty."""
    record = Record(Path(folder) / "record.txt")
    scratch = Path(tempfile.mkdtemp(prefix="relay-case-"))
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations = asyncio.run(play(record, scratch, disrupted))
        for violation in violations:
            record.note("VIOLATION", what=violation)
            print(f"violation: {violation}")
        code = EXIT_BROKEN if violations else EXIT_HELD
    except (NotRun, OSError, asyncio.TimeoutError) as fault:
        record.note("not_run", reason=fault)
        print(f"could not run: {fault}")
        code = EXIT_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {scratch}")
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.note("exit", code=code)
    record.close()
    sys.exit(code)
