"""Stand-ins of the platform, backend servers and clients for the cases of the
second review, and the start of the relay's processes. They follow PROTOCOL.md;
where it is silent they behave like a sound server, client or platform."""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STARTED = time.monotonic()
# A script runs for 120 seconds at most.
LONGEST_S = 110

# The small deployment of sites/rahbar-quetz.toml, as DEPLOY.md shows its
# settings.
ZONES = {"lhr-a": "pk-north", "isb-b": "pk-north", "fsd-c": "pk-north"}
BOUNDS = {"drain_ms": 3000, "grace_s": 6, "retry_budget_ratio": 0.2,
          "budget_extra": 58, "budget_window_s": 10}
LIMITS = {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100,
          "link_mbps": 1000.0}
CLIENT_LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def now_ms():
    return int((time.monotonic() - STARTED) * 1000)


class Record:
    """What was sent, answered and run, line by line with milliseconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now_ms():7d} {what} {text}\n")

    def close(self):
        self.file.close()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """The first line and the fields of a message; None at its end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, ends_with_connection=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2) if size else b""
            body += chunk[:-2]
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if ends_with_connection else b""


def encode(status, fields, body=b""):
    reasons = {200: "OK", 404: "Not Found", 412: "Precondition Failed",
               421: "Misdirected Request", 500: "Internal Server Error",
               503: "Service Unavailable", 504: "Gateway Timeout"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 1
        self.leases = {}
        self.changed = asyncio.Event()
        self.next_lease = 1000
        self.watching = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def note(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self.note(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "removed": True})

    def expire(self):
        for lease, (end, ttl) in list(self.leases.items()):
            if time.monotonic() >= end:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def cut_watches(self):
        """Closes the connections of the watches that are waiting."""
        for writer in list(self.watching):
            writer.close()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target = head[0].split(" ")[:2]
                if target.startswith("/kv-watch"):
                    self.watching.add(writer)
                try:
                    status, answer = await self.answer(method, target, body)
                finally:
                    self.watching.discard(writer)
                if writer.is_closing():
                    break
                writer.write(encode(status, [("Content-Type", "application/json")],
                                    json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-range":
            items = [self.items[k] for k in sorted(self.items)
                     if k.startswith(query["prefix"]) and k > query.get("after", "")]
            return 200, {"items": items[:50], "has_more": len(items) > 50,
                         "current_rev": self.revision}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, current_rev=self.revision)) if item else (404, {})
        if url.path == "/kv-watch":
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.log if e["revision"] > int(query["after"])
                          and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/kv-txn":
            order = json.loads(body)
            for row in order.get("precondition", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [item] if item else []}
            for row in order.get("puts", []):
                if row.get("lease", 0) and row["lease"] not in self.leases:
                    return 404, {}
            for row in order.get("puts", []):
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in order.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        if url.path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(url.path.rsplit("/", 1)[1])
        if url.path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}


class BackendServer:
    """A server with slots and a short queue. Every run and every refusal is
    recorded. A subclass may change how answers are written."""

    def __init__(self, store, record, name, service, zone, slots=4, queue=16,
                 work_ms=60):
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.queue, self.work_ms = slots, queue, work_ms
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.runs = []
        self.writers = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.register()

    def register(self, state="ready"):
        self.store.put_json(f"servers/{self.id}", {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state,
            "warmup_left_ms": 0, "seq": 1, "born": int(time.time() * 1000)})

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def stamp(self, request_id):
        return hashlib.sha256(f"{self.id} {request_id}".encode()).hexdigest()[:24]

    def answer_body(self, head, fields, body):
        return f"{self.id} {fields.get('request-id')} {len(body)}".encode()

    def work_time(self, head, fields, body):
        return self.work_ms / 1000

    async def write(self, connection, writer, request_id, bytes_):
        writer.write(bytes_)
        await writer.drain()

    async def before(self, connection, writer, request_id):
        """Called when a request has been read."""

    def exit(self):
        """The process ends: its connections are closed."""
        self.record("exit", server=self.id, running=self.running)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        connection = {}
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await read_body(reader, fields)
                await self.handle(connection, writer, line, fields, body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, connection, writer, line, fields, body):
        request_id = fields.get("request-id", "")
        echo = [("Request-Id", request_id), ("Server-Load", self.load())]
        await self.before(connection, writer, request_id)
        if fields.get("target-instance", self.id) != self.id:
            self.record("misdirected", server=self.id, id=request_id)
            await self.write(connection, writer, request_id,
                             encode(421, echo + [("Instance-Id", self.id)]))
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record("shed", server=self.id, id=request_id)
            await self.write(connection, writer, request_id,
                             encode(503, echo + [("Not-Executed", "1")]))
            return
        self.waiting += 1
        async with self.free:
            while self.running >= self.slots:
                await self.free.wait()
        self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((now_ms(), request_id, line))
            self.record("run", server=self.id, id=request_id,
                        request=line.replace(" ", "_"))
            await asyncio.sleep(self.work_time(line, fields, body))
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify_all()
        answer = self.answer_body(line, fields, body)
        await self.write(connection, writer, request_id, encode(
            200, [("Request-Id", request_id), ("Server-Stamp", self.stamp(request_id)),
                  ("Server-Load", self.load())], answer))


def render(text, values):
    """Fills in the placeholders of a template as DEPLOY.md describes them."""
    def one(match):
        path, as_json = match.group(1), match.group(2)
        value = values
        for step in path.split("."):
            value = value[int(step)] if isinstance(value, list) else value[step]
        if as_json or isinstance(value, (dict, float, int)):
            return json.dumps(value)
        return str(value)
    return re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", one, text)


class Relay:
    """One machine: the relay started with the command of the deploy file."""

    def __init__(self, folder, number, zone, store, cpu_share=LIMITS["cpu_share"]):
        self.folder, self.zone = folder, zone
        self.ip = f"127.41.{list(ZONES).index(zone) + 1}.{10 + number}"
        self.node = f"front-{zone}-{number}"
        ports = [free_port(self.ip) for _ in range(3)]
        self.front = (self.ip, ports[0])
        self.ready_address = (self.ip, ports[1])
        self.values = {
            "node": self.node, "zone": zone, "zones": ZONES, "ip": self.ip,
            "listen": {"front": f"{self.ip}:{ports[0]}", "ready": f"{self.ip}:{ports[1]}"},
            "port_range": [ports[2], ports[2] + 15],
            "limits": dict(LIMITS, cpu_share=cpu_share), "bounds": BOUNDS,
            "platform": {"address": store.address}}
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["relay"]
        with open(os.path.join(ROOT, role["template"])) as file:
            settings = render(file.read(), self.values)
        path = os.path.join(self.folder, self.node + ".yaml")
        with open(path, "w") as file:
            file.write(settings)
        command = [render(word, self.values) for word in role["run"].split()]
        command = [path if word == "/etc/quetzallead/local.yaml" else word
                   for word in command]
        command[0] = os.environ.get("RELAYD", command[0])
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["QUETZALLEAD_BOOT"] = path
        for name, text in role.get("env", {}).items():
            environment[name] = render(text, self.values)
        self.log = open(os.path.join(self.folder, self.node + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        answer = await ask(self.ready_address, "GET", "/ready", [], timeout=1)
        return answer.status == 200

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Answer:
    def __init__(self, status=0, fields=None, body=b"", fault=""):
        self.status, self.fields, self.body = status, fields or {}, body
        self.fault = fault


async def ask(address, method, path, fields, body=b"", timeout=5.0):
    """One request on a new connection. Status 0: no complete answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), min(timeout, 1.0))
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

        async def receive():
            while True:
                head = await read_head(reader)
                if head is None:
                    return Answer(fault="closed")
                status = int(head[0].split(" ")[1])
                if status >= 200:
                    return Answer(status, head[1], await read_body(
                        reader, head[1], ends_with_connection=True))
        return await asyncio.wait_for(receive(), timeout)
    except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            OSError) as fault:
        return Answer(fault=type(fault).__name__)
    finally:
        if writer is not None:
            writer.close()


def request_id():
    return "%016x" % random.getrandbits(64)


async def wait_ready(relays, seconds=15):
    end = time.monotonic() + seconds
    for relay in relays:
        while not await relay.is_ready():
            if time.monotonic() > end or relay.process.returncode is not None:
                return False
            await asyncio.sleep(0.1)
    return True


def main(case, folder):
    """Runs CASE(folder, record, trouble): True if the rule was broken, False if
    it held, None if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "0")) or None)
    record = Record(folder)
    result = None
    try:
        with tempfile.TemporaryDirectory() as temporary:
            if os.environ.get("KEEP_LOGS"):
                temporary = os.environ["KEEP_LOGS"]
                os.makedirs(temporary, exist_ok=True)
            result = asyncio.run(asyncio.wait_for(case(temporary, record, trouble),
                                                  LONGEST_S))
    except Exception as fault:  # The case could not run.
        print(f"{type(fault).__name__}: {fault}")
        record("could_not_run", fault=repr(fault))
    record("verdict", result={True: "broken", False: "held", None: "not_run"}[result])
    record.close()
    print({True: "broken", False: "held", None: "could not run"}[result])
    sys.exit({True: 1, False: 0, None: 2}[result])
