"""HTTP callers of the soak test: persistent connections, no retries, and a record of every result."""

import asyncio
import itertools
import time

HOST = "mill.example"
TIMEOUT = 1.0
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class RequestResult:
    """Status, headers and times of one request; status 0 stands for no response."""

    def __init__(self, request_id, path, entry, started_at):
        self.request_id, self.path, self.entry, self.started_at = request_id, path, entry, started_at
        # Process id of the entry; a restarted entry has the same name.
        self.process = None
        self.status, self.headers, self.ended_at = 0, {}, 0.0


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split(" ")[1]), headers, body


class Caller:
    """Sends requests one at a time to randomly chosen entries over persistent connections."""

    def __init__(self, name, entries, random, results, paths):
        """@p paths is called before each request and returns the paths to choose from."""
        self.name, self.entries, self.random, self.results, self.paths = name, entries, random, results, paths
        self._connections = {}
        self._request_numbers = itertools.count()

    async def run(self, until, max_pause):
        while time.monotonic() < until:
            await self._send(self.random.choice(self.entries), self.random.choice(self.paths()))
            await asyncio.sleep(self.random.uniform(0, max_pause))
        for _, writer, _ in self._connections.values():
            writer.close()

    async def _send(self, entry, path):
        result = RequestResult(f"{self.name}-{next(self._request_numbers)}", path, entry.name, time.monotonic())
        method = "POST" if path.startswith("/weigh") else "GET"
        try:
            async with asyncio.timeout(TIMEOUT + 2.0):
                if entry.name not in self._connections:
                    host, port = entry.traffic.rsplit(":", 1)
                    process = entry.child.pid
                    self._connections[entry.name] = *await asyncio.open_connection(host, int(port)), process
                reader, writer, result.process = self._connections[entry.name]
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {result.request_id}\r\n"
                             f"Deadline-Ms: {int(TIMEOUT * 1000)}\r\nContent-Length: 0\r\n\r\n".encode())
                result.status, result.headers, _ = await read_response(reader)
                if result.headers.get("connection") == "close":
                    self._drop(entry.name)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self._drop(entry.name)
        result.ended_at = time.monotonic()
        self.results.append(result)

    def _drop(self, name):
        if name in self._connections:
            self._connections.pop(name)[1].close()
