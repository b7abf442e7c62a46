"""Stand-in for the platform's metadata store."""

import base64
import json
import socket
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

from .http_wire import Closed, Connection, encode

HISTORY_S = 20


class Store:
    """Keeps items under one revision counter and answers the calls of PROTOCOL."""

    def __init__(self, host="127.0.0.1"):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 0
        self.era = 1
        self.leases = {}
        self.next_lease = 1
        self.away = False
        self.stopped = False
        self.watching = {}
        self.peers = set()
        self.listener = socket.create_server((host, 0), backlog=64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    # What the operator, the servers and the platform do.

    def put(self, key, value, lease=0):
        with self.changed:
            self._put(key, value.encode(), lease)
            self.changed.notify_all()
            return self.revision

    def remove(self, key):
        with self.changed:
            self._remove(key)
            self.changed.notify_all()
            return self.revision

    def copy(self):
        """A copy of all that the store holds."""
        with self.changed:
            return dict(self.items), self.revision, dict(self.leases), self.next_lease

    def restore(self, copy, away_s):
        """Is away for a moment and comes back from a copy."""
        with self.changed:
            self.away = True
            self.changed.notify_all()
        self.cut_connections()
        time.sleep(away_s)
        with self.changed:
            self.items, self.revision, self.leases, self.next_lease = copy
            self.events = [e for e in self.events if e[0] <= self.revision]
            self.era += 1
            self.away = False

    def cut_connections(self):
        for peer in list(self.peers):
            try:
                peer.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stop(self):
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        self.listener.close()
        self.cut_connections()

    # Changes; called with the lock held.

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._record(key, self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(key, None)

    def _record(self, key, item):
        self.events.append((self.revision, key, item, time.monotonic()))

    # Calls.

    def _accept(self):
        while not self.stopped:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(Connection(sock),), daemon=True).start()

    def _serve(self, peer):
        self.peers.add(peer)
        try:
            while not self.stopped:
                request = peer.read()
                if self.away:
                    return
                status, body = self._answer(request)
                if status is None or self.away:
                    return
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                peer.send(encode(f"HTTP/1.1 {status} -", headers, json.dumps(body).encode()))
        except Closed:
            pass
        finally:
            self.peers.discard(peer)
            peer.close()

    def _answer(self, request):
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return self._watch(query)
        if path == "/kv-key":
            with self.changed:
                item = self.items.get(unquote(query["key"]))
                if item is None:
                    return 404, {}
                return 200, dict(self._describe(query["key"], item), current_rev=self.revision)
        if path == "/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/kv-lease":
            ttl_s = json.loads(request.body)["ttl_ms"] / 1000
            with self.changed:
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/kv-keep/"):
            with self.changed:
                held = self.leases.get(int(path.rsplit("/", 1)[1]))
                if held is None:
                    return 404, {}
                held[1] = time.monotonic() + held[0]
                return 200, {"ttl_ms": int(held[0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            with self.changed:
                self._end_lease(int(path.rsplit("/", 1)[1]))
                self.changed.notify_all()
            return 200, {}
        return 404, {}

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    @staticmethod
    def _describe(key, item):
        return {
            "key": key,
            "value": base64.b64encode(item["value"]).decode(),
            "revision": item["revision"],
            "created": item["created"],
            "lease": item["lease"],
        }

    def _range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        with self.changed:
            items = [
                self._describe(key, item)
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            era = self.era
            self.watching[prefix] = self.watching.get(prefix, 0) + 1
            try:
                while not self.stopped and not self.away and era == self.era:
                    if after > self.revision:
                        return 410, {}
                    found = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
                    left = end - time.monotonic()
                    if found or left <= 0:
                        return 200, {
                            "events": [self._describe_event(e) for e in found],
                            "current_rev": self.revision,
                        }
                    self.changed.wait(left)
            finally:
                self.watching[prefix] -= 1
        return None, None

    def _describe_event(self, event):
        revision, key, item, _ = event
        if item is None:
            return {"key": key, "revision": revision, "removed": True}
        return self._describe(key, item)

    def _transact(self, body):
        with self.changed:
            for row in body.get("precondition", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": []}
            leases = {put.get("lease", 0) for put in body.get("puts", [])} - {0}
            if not leases <= set(self.leases):
                return 404, {}
            # All changes of a transaction carry one revision.
            first = self.revision + 1
            for put in body.get("puts", []):
                self.revision = first - 1
                self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for key in body.get("remove", []):
                self.revision = first - 1
                self._remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}
