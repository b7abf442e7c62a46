"""The shape of a deployment: an example sheet on free ports of loopback."""

import json
import re
import socket
from dataclasses import dataclass


def strip_comments(text):
    """Removes // comments that stand outside strings."""
    return re.sub(r'("(?:\\.|[^"\\])*")|//[^\n]*',
                  lambda found: found.group(1) or "", text)


def load_json(path):
    with open(path, encoding="utf-8") as file:
        return json.loads(strip_comments(file.read()))


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = []
    for _ in range(count):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        sockets.append(listener)
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


@dataclass
class Server:
    """A backend server as the sheet states it."""

    name: str
    service: str
    shard: str
    zone: str
    slots: int
    address: str


@dataclass
class Deployment:
    """A sheet and what the runner needs to know of it."""

    name: str
    sheet: dict
    servers: list

    def shard_count(self, service):
        return len(self._service(service)["shards"])

    def keys(self, service):
        """One key in each shard of the service."""
        return [shard["from"] + "-1" for shard in self._service(service)["shards"]]

    def servers_of(self, service):
        return [server for server in self.servers if server.service == service]

    def services(self):
        return [service["name"] for service in self.sheet["services"]]

    def zones(self):
        return self.sheet["zones"]

    def _service(self, name):
        return next(s for s in self.sheet["services"] if s["name"] == name)


def load_deployment(name, sheet_path):
    """Reads the sheet and gives every server a free port."""
    sheet = load_json(sheet_path)
    specs = [(service, shard, server)
             for service in sheet["services"]
             for shard in service["shards"]
             for server in shard["servers"]]
    servers = []
    for (service, shard, server), port in zip(specs, free_ports(len(specs))):
        server["address"] = f"127.0.0.1:{port}"
        servers.append(Server(server["name"], service["name"], shard["name"],
                              server["zone"], server["slots"], server["address"]))
    return Deployment(name, sheet, servers)
