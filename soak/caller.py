"""Callers that keep connections, repeat nothing, and remember what they were told."""

import asyncio
import itertools
import time

HOST = "mill.example"
TIMEOUT = 1.0
NOT_RUN = (408, 421, 429, 503)


class Told:
    """What one request was told."""

    def __init__(self, identity, path, entry, started):
        self.identity, self.path, self.entry, self.started = identity, path, entry, started
        # Process that the connection leads to; a name is used again after a restart.
        self.process = None
        self.status, self.headers, self.ended = 0, {}, 0.0


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split(" ")[1]), headers, body


class Caller:
    """Sends requests to one entry after the other over kept connections."""

    def __init__(self, name, entries, random, told, paths):
        """Asks for what paths() names at that moment."""
        self.name, self.entries, self.random, self.told, self.paths = name, entries, random, told, paths
        self._connections = {}
        self._numbers = itertools.count()

    async def run(self, until, pause):
        while time.monotonic() < until:
            await self._send(self.random.choice(self.entries), self.random.choice(self.paths()))
            await asyncio.sleep(self.random.uniform(0, pause))
        for _, writer, _ in self._connections.values():
            writer.close()

    async def _send(self, entry, path):
        request = Told(f"{self.name}-{next(self._numbers)}", path, entry.name, time.monotonic())
        method = "POST" if path.startswith("/weigh") else "GET"
        try:
            async with asyncio.timeout(TIMEOUT + 2.0):
                if entry.name not in self._connections:
                    host, port = entry.traffic.rsplit(":", 1)
                    process = entry.child.pid
                    self._connections[entry.name] = *await asyncio.open_connection(host, int(port)), process
                reader, writer, request.process = self._connections[entry.name]
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request.identity}\r\n"
                             f"Deadline-Ms: {int(TIMEOUT * 1000)}\r\nContent-Length: 0\r\n\r\n".encode())
                request.status, request.headers, _ = await read_answer(reader)
                if request.headers.get("connection") == "close":
                    self._drop(entry.name)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self._drop(entry.name)
        request.ended = time.monotonic()
        self.told.append(request)

    def _drop(self, name):
        if name in self._connections:
            self._connections.pop(name)[1].close()
