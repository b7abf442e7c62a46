"""Stand-in for a backend server."""

import json
import socket
import threading
import time

from .http_wire import Closed, Connection, encode


class Server:
    """Runs each request for a while and answers it with a stamp.

    A subclass changes serve() for what a case needs.
    """

    def __init__(self, record, store, service, server_id, zone, work_s=0.01, host="127.0.0.1"):
        self.record = record
        self.store = store
        self.service = service
        self.id = server_id
        self.zone = zone
        self.work_s = work_s
        self.slots = 4
        self.warm_up_left_ms = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.stopped = False
        self.peers = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((host, 0), backlog=64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def register(self, state="ready"):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": self.warm_up_left_ms,
            "seq": self.sequence,
            "born": self.born,
        }
        return self.store.put(f"servers/{self.id}", json.dumps(entry))

    def deregister(self):
        return self.store.remove(f"servers/{self.id}")

    def stop(self):
        self.stopped = True
        # Wakes the thread that waits for a connection.
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for peer in list(self.peers):
            try:
                peer.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while not self.stopped:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            peer = Connection(sock)
            threading.Thread(target=self._serve_peer, args=(peer,), daemon=True).start()

    def _serve_peer(self, peer):
        self.peers.add(peer)
        try:
            while not self.stopped:
                request = peer.read()
                if request.header("Target-Instance", self.id) != self.id:
                    self.answer(peer, request, 421, [("Not-Executed", 1)])
                    continue
                self.serve(peer, request)
        except (Closed, OSError):
            pass
        finally:
            self.peers.discard(peer)
            peer.close()

    def serve(self, peer, request):
        self.run(request)
        self.answer_success(peer, request)

    def run(self, request, work_s=None):
        self.record.line("server", self.id, "runs", request.header("Request-Id"))
        self.record.ran(request.header("Request-Id"), self.id)
        time.sleep(self.work_s if work_s is None else work_s)

    def answer_success(self, peer, request, headers=()):
        body = self.body_for(request)
        stamp = self.stamp_for(request)
        self.answer(peer, request, 200, [("Server-Stamp", stamp), *headers], body)

    def answer(self, peer, request, status, headers=(), body=b""):
        peer.send(self.encode_answer(request, status, headers, body))
        self.record.line("server", self.id, "answers", request.header("Request-Id"), status)

    def encode_answer(self, request, status, headers=(), body=b""):
        echo = [("Request-Id", request.header("Request-Id", "-"))]
        return encode(f"HTTP/1.1 {status} -", [*echo, *headers], body)

    def body_for(self, request):
        return f"{self.id} answers {request.header('Request-Id')}".encode()

    def stamp_for(self, request):
        return f"{self.id}.{request.header('Request-Id')}"
