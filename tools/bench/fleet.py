"""One deployment in processes: fake platform, fake backend servers, daemons."""

import json
import os
import time

import http_json
from deployment import free_ports, load_json
from processes import Process, ProcessError

START_TIMEOUT_S = 20
PORTS_PER_DAEMON = 4
# Time in which an accepted sheet has to reach all instances by itself.
SPREAD_TIMEOUT_S = 8


class Fleet:
    """Starts everything in a folder of its own; close() ends all of it."""

    def __init__(self, binaries, deployment, folder, options):
        self.deployment = deployment
        self.folder = folder
        self.daemons = []
        self.daemon_zones = []
        self.caller_addresses = []
        self.sheet_not_spread = 0
        self._binaries = binaries
        self._options = options
        self._admin_addresses = []
        self._fakes = []
        os.makedirs(folder, exist_ok=True)
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()

    def close(self):
        for process in self.daemons + self._fakes:
            process.stop()

    # Faults and counters.

    def set_faults(self, server, faults):
        """Merges the faults into those of a server; "*" means all."""
        status, reply = http_json.call(
            "POST", self._backend_admin, f"/servers/{server}/faults", faults)
        if status != 200:
            raise ProcessError(f"faults of {server}: {reply}")

    def set_platform_faults(self, faults):
        status, reply = http_json.call(
            "POST", self._platform_admin, "/faults", faults)
        if status != 200:
            raise ProcessError(f"faults of the platform: {reply}")

    def attempts(self):
        """Requests that each backend server has read so far."""
        _, counters = http_json.call("GET", self._backend_admin, "/counters")
        return {name: entry["requests"] for name, entry in counters.items()}

    def connection_peaks(self):
        """(open, peak, refused) connections of each backend server."""
        _, counters = http_json.call("GET", self._backend_admin, "/counters")
        return {name: entry["connections"] for name, entry in counters.items()}

    def repeated_commands(self, services):
        """Marks of commands that were executed more than once."""
        seen = {}
        for server in self.deployment.servers:
            if server.service not in services:
                continue
            _, journal = http_json.call(
                "GET", self._backend_admin, f"/servers/{server.name}/journal")
            for entry in journal["entries"]:
                if entry["kind"] == "command" and entry["executed"]:
                    mark = json.dumps(entry["command"])
                    seen[mark] = seen.get(mark, 0) + 1
        return [mark for mark, count in seen.items() if count > 1]

    def platform_calls(self):
        _, counters = http_json.call("GET", self._platform_admin, "/counters")
        return counters

    def register(self, server, state):
        """Puts a backend server on the platform's list."""
        host, port = server.address.split(":")
        http_json.call("PUT", self._platform_address, "/v1/catalog/register", {
            "Node": server.name, "Address": host,
            "Service": {"Service": "backend", "Address": host, "Port": int(port),
                        "Meta": {"zone": server.zone, "state": state}}})

    def daemons_in(self, zone):
        return [daemon for daemon, place in zip(self.daemons, self.daemon_zones)
                if place == zone]

    def callers_outside(self, zone):
        """Caller addresses of the daemons that are not in the zone."""
        return [address for address, place
                in zip(self.caller_addresses, self.daemon_zones)
                if place != zone]

    def processor_seconds(self):
        return sum(daemon.processor_seconds() for daemon in self.daemons)

    def resident_bytes(self):
        return max((d.resident_bytes() for d in self.daemons), default=0)

    # Start.

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _start(self):
        self._start_platform()
        self._start_backend()
        for server in self.deployment.servers:
            self.register(server, "live")
        if self._options["daemons_per_zone"] == 0:
            return
        self._write_secrets()
        self._start_daemons()
        self._submit_sheet(self._admin_addresses[0])
        self._wait_until_ready()

    def _start_platform(self):
        platform = Process("fake-platform", [
            self._binaries["fake-platform"], "--listen", "127.0.0.1:0",
            "--admin", "127.0.0.1:0"], self._path("platform.log"))
        self._fakes.append(platform)
        ready = platform.wait_for_line(
            r"ready admin=(\S+) listen=(\S+)", START_TIMEOUT_S)
        self._platform_admin, self._platform_address = ready.groups()

    def _start_backend(self):
        self.sheet_path = self._path("sheet.json")
        with open(self.sheet_path, "w", encoding="utf-8") as file:
            json.dump(self.deployment.sheet, file)
        backend = Process("fake-backend", [
            self._binaries["fake-backend"], "--sheet", self.sheet_path,
            "--admin", "127.0.0.1:0",
            "--service-time-ms", str(self._options["service_time_ms"]),
            "--jitter", self._options["jitter"],
            "--seed", str(self._options["seed"])], self._path("backend.log"))
        self._fakes.append(backend)
        ready = backend.wait_for_line(r"ready admin=(\S+)", START_TIMEOUT_S)
        self._backend_admin = ready.group(1)

    def _write_secrets(self):
        self._secrets = load_json(self._options["secrets_path"])
        self._secrets_path = self._path("secrets.json")
        descriptor = os.open(self._secrets_path, os.O_WRONLY | os.O_CREAT, 0o600)
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            json.dump(self._secrets, file)

    def _start_daemons(self):
        zones = [zone for zone in self.deployment.zones()
                 for _ in range(self._options["daemons_per_zone"])]
        ports = free_ports(PORTS_PER_DAEMON * len(zones))
        for index, zone in enumerate(zones):
            listens = [f"127.0.0.1:{port}" for port
                       in ports[PORTS_PER_DAEMON * index:][:PORTS_PER_DAEMON]]
            self._start_daemon(f"inst-{zone}{index}", zone, listens)
        for daemon in self.daemons:
            daemon.wait_for_line(r"event=started", START_TIMEOUT_S)

    def _start_daemon(self, name, zone, listens):
        settings = {
            "instance": name, "zone": zone,
            "caller_listen": listens[0], "admin_listen": listens[1],
            "peer_listen": listens[2], "metrics_listen": listens[3],
            "platform": {"address": self._platform_address, "timeout_ms": 2000},
            "secrets_file": self._secrets_path,
            "policy": self._options["policy"]}
        path = self._path(f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.daemons.append(Process(
            name, [self._binaries["quetzalleadd"], "--settings", path],
            self._path(f"{name}.log")))
        self.daemon_zones.append(zone)
        self.caller_addresses.append(listens[0])
        self._admin_addresses.append(listens[1])

    def _submit_sheet(self, address):
        deadline = time.monotonic() + START_TIMEOUT_S
        submission = {
            "submission_id": f"bench-{os.getpid()}", "base_revision": 0,
            "author": "bench", "reason": "bench run",
            "sheet": self.deployment.sheet}
        token = {"Authorization": "Bearer " + self._secrets["operator_token"]}
        reply = None
        while time.monotonic() < deadline:
            try:
                status, reply = http_json.call(
                    "POST", address, "/v1/sheet", submission, token)
            except OSError:
                status = 0
            if status == 200:
                return
            time.sleep(0.1)
        raise ProcessError(f"the sheet was not accepted: {reply}")

    def _wait_until_ready(self):
        """Waits for the sheet everywhere. An instance that it did not reach is
        given the sheet directly and counted in `sheet_not_spread`."""
        deadline = time.monotonic() + SPREAD_TIMEOUT_S
        for address in self._admin_addresses:
            while not self._ready(address):
                if time.monotonic() > deadline:
                    self._submit_sheet(address)
                    self.sheet_not_spread += 1
                    break
                time.sleep(0.05)
        for address in self._admin_addresses:
            if not self._ready(address):
                raise ProcessError(f"{address} did not become ready")

    @staticmethod
    def _ready(address):
        try:
            return http_json.call("GET", address, "/readyz")[0] == 200
        except OSError:
            return False
