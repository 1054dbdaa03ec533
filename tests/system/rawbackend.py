"""A backend server with correct health check responses whose other responses are chosen by the test."""

import socket
import threading
import time

from fleet import reset
from ports import free_port
from platformfleet import backend_report

CHUNK = b"3e8\r\n" + b"x" * 1000 + b"\r\n"


class RawBackend:
    """Registered in the store like a PlatformBackend; `mode` is the name of the method that handles requests."""

    def __init__(self, store, name, service="lots", mode="ok"):
        self.store, self.name, self.service, self.mode = store, name, service, mode
        self.port = free_port()
        self.requests = []
        self.probes = 0
        self.open_connections = 0
        self.flooded_connections = 0
        self.health_delay = 0.0
        # Changes the bytes of valid responses: of those to requests in the mode "malformed", and of health checks.
        self.malform = lambda reply: reply
        self.malform_health = lambda reply: reply
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=512)
        threading.Thread(target=self.accept_loop, daemon=True).start()
        self.report()

    def report(self, state="ready"):
        self.sequence += 1
        self.store.write("keyed.servers", self.name, backend_report(
            f"127.0.0.1:{self.port}", self.service, sequence=self.sequence, state=state, born=self.born, capacity=200))

    def remove(self):
        self.store.write("keyed.servers", self.name, b"")

    def end(self):
        self.listener.close()

    def accept_loop(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        self.open_connections += 1
        with connection:
            try:
                while request := self.read(connection):
                    path, request_id, unread_bytes = request
                    if path == "/health":
                        self.probes += 1
                        time.sleep(self.health_delay)
                        load = f"Server-Load: 0,0,2,100\r\nInstance-Id: {self.name}\r\n"
                        reply = f"HTTP/1.1 200 OK\r\n{load}Content-Length: 2\r\n\r\n{{}}".encode()
                        connection.sendall(self.malform_health(reply))
                        continue
                    self.requests.append(request_id)
                    if self.mode != "reset_upload":
                        self.discard(connection, unread_bytes)
                    getattr(self, self.mode)(connection, request_id)
            except OSError:
                pass  # The entry closed the connection.
        self.open_connections -= 1

    def read(self, connection):
        """Returns path, id and unread body bytes of the next request, or None at the end of the connection."""
        head = b""
        while b"\r\n\r\n" not in head:
            data = connection.recv(4096)
            if not data:
                return None
            head += data
        head, _, body = head.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        request_ids = [line.split(":", 1)[1].strip() for line in lines if line.lower().startswith("attempt-id:")]
        lengths = [int(line.split(":", 1)[1]) for line in lines if line.lower().startswith("content-length:")]
        return lines[0].split(" ")[1], request_ids[0] if request_ids else "", sum(lengths) - len(body)

    def discard(self, connection, size):
        while size > 0 and (data := connection.recv(min(size, 65536))):
            size -= len(data)

    def head(self, request_id, *fields):
        return "\r\n".join(["HTTP/1.1 200 OK", f"Attempt-Id: {request_id}", f"Server-Seal: {self.name}", *fields,
                            "", ""]).encode()

    def answer(self, request_id, size=0):
        body = (request_id + "." * max(0, size - len(request_id))).encode()
        return self.head(request_id, f"Content-Length: {len(body)}") + body

    def forever(self, connection, data):
        while True:
            connection.sendall(data)

    def ok(self, connection, request_id):
        connection.sendall(self.answer(request_id))

    def malformed(self, connection, request_id):
        connection.sendall(self.malform(self.head(request_id, "Content-Length: 6") + b"broken"))

    def slow_on_request(self, connection, request_id):
        """Takes 0.6 s for requests whose id begins with "slow"."""
        time.sleep(0.6 if request_id.startswith("slow") else 0)
        connection.sendall(self.answer(request_id))

    def slow(self, connection, request_id):
        time.sleep(1.7)
        connection.sendall(self.answer(request_id))

    def reset_upload(self, connection, request_id):
        """Responds before it has read the body, and resets the connection while the caller still sends."""
        connection.sendall(self.head(request_id) + b"half")
        time.sleep(0.05)
        reset(connection)

    def endless_after(self, connection, request_id):
        connection.sendall(self.answer(request_id))
        time.sleep(0.05)
        self.flooded_connections += 1
        try:
            self.forever(connection, b"\x7f" * 65536)
        finally:
            self.flooded_connections -= 1

    def leaving_with_slow_body(self, connection, request_id):
        """Announces that it leaves, and sends the body so late that the request has no response in time."""
        connection.sendall(self.head(request_id, "Server-Leaving: 1", "Content-Length: 5"))
        time.sleep(3.0)
        connection.sendall(b"late.")

    def large(self, connection, request_id):
        connection.sendall(self.answer(request_id, 2_000_000))

    def second_copy(self, connection, request_id):
        """Sends a duplicate response, either while the next request is in flight or shortly after the response."""
        connection.sendall(self.answer(request_id))
        time.sleep(0.01)
        connection.sendall(self.answer(request_id))

    def cut(self, connection, request_id):
        connection.sendall(self.head(request_id, "Content-Length: 1000") + b"half")
        connection.close()

    def cut_chunked(self, connection, request_id):
        connection.sendall(self.head(request_id, "Transfer-Encoding: chunked") + CHUNK)
        connection.close()

    def reset_unframed(self, connection, request_id):
        connection.sendall(self.head(request_id) + b"half")
        reset(connection)

    def endless_chunks(self, connection, request_id):
        connection.sendall(self.head(request_id, "Transfer-Encoding: chunked"))
        self.forever(connection, CHUNK * 64)

    def endless_chunk_size(self, connection, request_id):
        connection.sendall(self.head(request_id, "Transfer-Encoding: chunked"))
        self.forever(connection, bytes(65536))

    def endless_trailer(self, connection, request_id):
        connection.sendall(self.head(request_id, "Transfer-Encoding: chunked") + CHUNK + b"0\r\nlast: ")
        self.forever(connection, b"x" * 65536)

    def refused_without_id(self, connection, request_id):
        """Runs the request while a rejection without an id, such as that of a health check, arrives first."""
        connection.sendall(b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\n{}")
        time.sleep(0.02)
        connection.sendall(self.answer(request_id))

    def fail_late(self, connection, _request_id):
        """Fails shortly after a hedge of the request becomes due."""
        time.sleep(0.245)
        connection.close()

    def cut_head(self, connection, request_id):
        """Sends ever longer parts of the header, and closes in good order."""
        head = self.head(request_id, "Content-Length: 5")
        connection.sendall(head[:1 + len(self.requests) % (len(head) - 1)])
        connection.close()

    def endless_unframed(self, connection, request_id):
        connection.sendall(self.head(request_id))
        self.forever(connection, b"x" * 65536)

    def endless_interim(self, connection, _identity):
        self.forever(connection, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64)

    def endless_others(self, connection, request_id):
        self.forever(connection, self.answer("other-" + request_id, 10_000))

    def endless_head(self, connection, _identity):
        connection.sendall(b"HTTP/1.1 200 OK\r\n")
        self.forever(connection, b"a: " + b"x" * 1000 + b"\r\n")

    def endless_noise(self, connection, _identity):
        self.forever(connection, b"\x7f" * 65536)
