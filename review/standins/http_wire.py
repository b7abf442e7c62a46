"""HTTP/1.1 messages on blocking sockets."""

import socket


class Closed(Exception):
    """The peer closed the connection, or reset it."""


class Message:
    """A request or a response: its first line, headers and body."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    def header(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Connection:
    """A socket with a buffer for the bytes that were read too early."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def _fill(self):
        try:
            data = self.sock.recv(65536)
        except (ConnectionError, OSError) as fault:
            if isinstance(fault, socket.timeout):
                raise
            raise Closed() from fault
        if not data:
            raise Closed()
        self.buffer += data

    def _take(self, count):
        while len(self.buffer) < count:
            self._fill()
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def read(self):
        """Reads one message whose body has a length, or none."""
        while b"\r\n\r\n" not in self.buffer:
            self._fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = []
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers.append((name.strip(), value.strip()))
        message = Message(lines[0], headers, b"")
        message.body = self._take(int(message.header("Content-Length", "0")))
        return message

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError as fault:
            raise Closed() from fault

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def encode(start_line, headers, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def connect(address, timeout_s):
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=timeout_s)
    return Connection(sock)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
