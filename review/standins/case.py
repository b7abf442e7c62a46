"""Runs a case: its record, the relays that it starts, and its exit status."""

import json
import os
import re
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from .http_wire import Closed, connect, encode, free_port

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 15


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.runs = []

    def now(self):
        return time.monotonic() - self.started

    def line(self, *words):
        with self.lock:
            if not self.file.closed:
                text = " ".join(str(word) for word in words)
                self.file.write(f"{self.now():8.3f} {text}\n")
                self.file.flush()

    def ran(self, request_id, server_id):
        """Notes that a server began to work on a request."""
        with self.lock:
            self.runs.append((request_id, server_id, self.now()))

    def servers_that_ran(self, request_id):
        with self.lock:
            return [server for ran, server, _ in self.runs if ran == request_id]


class Case:
    """Processes and settings of one run. Ends all processes that it started."""

    def __init__(self, directory, trouble):
        self.trouble = trouble
        self.record = Record(os.path.join(directory, "record.txt"))
        self.folder = tempfile.TemporaryDirectory(prefix="quetzallead-review-")
        self.relays = []
        self.closers = []
        self.record.line("trouble", "on" if self.trouble else "off")

    def start_relay(self, name, zone, ip, store_address, drain_ms=3000, grace_s=6):
        relay = Relay(self, name, zone, ip, store_address, drain_ms, grace_s)
        self.relays.append(relay)
        relay.start()
        return relay

    def close(self):
        for relay in self.relays:
            relay.kill()
        for closer in self.closers:
            closer()
        self.folder.cleanup()


def run_command():
    """The command of the deploy file's one role."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
        found = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)
    return shlex.split(found.group(1))


def fill_template(fields):
    """Fills in the settings template as the platform does."""
    with open(os.path.join(REPOSITORY, "deploy", "settings.json"), encoding="utf-8") as file:
        template = file.read()

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Relay:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, case, name, zone, ip, store_address, drain_ms, grace_s):
        self.record = case.record
        self.name = name
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        link_port = free_port(ip)
        self.settings = os.path.join(case.folder.name, f"{name}.json")
        self.log_path = os.path.join(case.folder.name, f"{name}.log")
        self.process = None
        fields = {
            "node": name,
            "zone": zone,
            "ip": ip,
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [link_port, link_port + 15],
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0},
            "platform": {"address": store_address},
            "bounds": {
                "drain_ms": drain_ms,
                "grace_s": grace_s,
                "retry_budget_ratio": 0.2,
                "budget_extra": 58,
                "budget_window_s": 10,
            },
        }
        # The metrics are served on a free port, too.
        metrics_port = free_port(ip)
        self.metrics = f"{ip}:{metrics_port}"
        text = fill_template(fields).replace(f"{ip}:9464", self.metrics)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        program, *arguments = run_command()
        program = os.path.join(REPOSITORY, program)
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is missing; run the build of the deploy file")
        arguments = [self.settings if a.startswith("/etc/") else a for a in arguments]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [program, *arguments], cwd=REPOSITORY, stdout=log, stderr=log
            )
        self.record.line("relay", self.name, "started, process", self.process.pid)

    def await_ready(self):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            try:
                peer = connect(self.ready, 1)
                peer.send(encode("GET /ready HTTP/1.1", [("Host", "ready")]))
                status = peer.read().status
                peer.close()
                if status == 200:
                    self.record.line("relay", self.name, "is ready")
                    return
            except (OSError, Closed):
                pass
            time.sleep(0.05)
        raise CannotRun(f"relay {self.name} did not become ready")

    def terminate(self):
        self.record.line("relay", self.name, "gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    def await_end(self, timeout_s):
        """The exit status; None if the process still runs."""
        try:
            status = self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        self.record.line("relay", self.name, "ended with status", status)
        return status

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def metric(self, name):
        """The value of a metric, whatever its labels; None if it is not served."""
        try:
            peer = connect(self.metrics, 1)
            peer.send(encode("GET /metrics HTTP/1.1", [("Host", "metrics")]))
            text = peer.read().body.decode()
            peer.close()
        except (OSError, Closed):
            return None
        found = re.search(rf"^{name}(?:{{.*}})? (\S+)$", text, re.MULTILINE)
        return float(found.group(1)) if found else None

    def log_lines(self, word):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if word in line]


def route(name, host, prefix, kind, service, timeout_ms, slo_ms, max_attempts=2):
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "type": kind,
        "timeout_ms": timeout_ms,
        "slo_ms": slo_ms,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
    }


def config(version, routes, max_conns):
    """The operator's configuration, with the limits of the small deployments."""
    services = sorted({r["service"] for r in routes})
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": max_conns,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
    )


def encode_request(method, host, path, request_id, deadline_ms, body=None):
    headers = [("Host", host), ("Request-Id", request_id), ("Deadline-Ms", deadline_ms)]
    if body is None:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return encode(f"{method} {path} HTTP/1.1", headers, body)


def main(directory, play, trouble):
    """Plays a case, with the disruption if 'trouble' is set, and exits with its status."""
    case = Case(directory, trouble)

    def interrupt(*_):
        # The processes are ended whatever comes next.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        raise CannotRun("interrupted")

    signal.signal(signal.SIGTERM, interrupt)
    try:
        status = HELD if play(case) else BROKEN
    except CannotRun as fault:
        case.record.line("could not run:", fault)
        status = NOT_RUN
    except Exception:  # pylint: disable=broad-except
        case.record.line("could not run:", traceback.format_exc())
        status = NOT_RUN
    finally:
        case.close()
    names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    case.record.line("result:", names[status])
    print(names[status])
    sys.stdout.flush()
    os._exit(status)
