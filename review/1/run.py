"""A server in trouble answers a small share of its requests with bytes that have no end, in the body of the answer."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import standins
from standins import CONTACT_S, MEMORY_MB, Client, Platform, Registration, Server, main, now, route

ENTRIES = 3
CLIENTS_PER_ENTRY = 12
LENGTH_S = 75
RESTART_DELAY_S = 0.5
# The disruption comes five times, each time for as long as the site's garble; within it, an answer without end starts
# at most this often, which is about 2 in 100 answers of the server, and far fewer over the run.
TROUBLE_WINDOWS_S = tuple((start, start + 5.5) for start in (5.0, 19.0, 33.0, 47.0, 61.0))
TROUBLE_PERIOD_S = 2.9
# Half of the link of a machine (1000 Mbit/s).
BYTES_PER_SECOND = 62_500_000
CHUNK = bytes(65536)
# LOST: more than three requests at any time.
LOST_ALLOWED = 3


class EndlessServer(Server):
    """Answers a request now and then with a chunked body that is no chunk and never ends, until the caller closes."""

    def __init__(self, record, name, trouble, **values):
        self.trouble = trouble
        self.begun_at = now()
        self.next_at = now()
        self.endless = 0
        self.answers = 0
        self._lock = threading.Lock()
        super().__init__(record, name, **values)

    def _takes_turn(self):
        with self._lock:
            self.answers += 1
            elapsed = now() - self.begun_at
            in_window = any(first <= elapsed <= last for first, last in TROUBLE_WINDOWS_S)
            if not self.trouble or not in_window or now() < self.next_at:
                return False
            self.next_at = now() + TROUBLE_PERIOD_S
            self.endless += 1
            return True

    def on_request(self, connection, method, target, headers, body):
        if not self._takes_turn():
            return super().on_request(connection, method, target, headers, body)
        request_id = headers.get("attempt-id", "")
        if not self.accepts(connection, headers):
            return None
        self.run(request_id)
        self.record.add(f"{self.name} answers {request_id} without end")
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nServer-Seal: {self.name}.{request_id}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n")
        started_at, sent = now(), 0
        try:
            connection.sendall(head.encode())
            while True:
                connection.sendall(CHUNK)
                sent += len(CHUNK)
                ahead = sent / BYTES_PER_SECOND - (now() - started_at)
                if ahead > 0:
                    time.sleep(ahead)
        except OSError:
            self.record.add(f"{self.name}: caller closed after {sent} bytes")
            return False


class Watch(threading.Thread):
    """The platform: kills a process above memory_mb and starts a process that has ended again after a short delay."""

    def __init__(self, platform, record):
        super().__init__(daemon=True)
        self.platform, self.record = platform, record
        self.ends = {entry.name: [] for entry in platform.entries}
        self.active = True
        self.start()

    def run(self):
        restarts = {}
        while self.active:
            time.sleep(0.004)
            for entry in self.platform.entries:
                if entry in restarts:
                    if now() >= restarts[entry]:
                        del restarts[entry]
                        entry.start()
                    continue
                used = entry.memory_mb()
                entry.peak_mb = max(entry.peak_mb, used)
                if used > MEMORY_MB:
                    entry.child.kill()
                    self.record.say(f"{entry.name} uses {used:.0f} MB of {MEMORY_MB} MB and is killed by the platform")
                if entry.child.poll() is not None:
                    self.ends[entry.name].append((entry.started_at, now()))
                    self.record.add(f"{entry.name} has ended with {entry.child.returncode}")
                    restarts[entry] = now() + RESTART_DELAY_S


class Caller(threading.Thread):
    """Sends one request after another over a kept connection."""

    def __init__(self, entry, number, kind, record, until):
        super().__init__(daemon=True)
        self.entry, self.number, self.kind, self.record, self.until = entry, number, kind, record, until
        self.cut = []
        self.statuses = {}

    def run(self):
        client = Client(self.entry.frontend)
        sequence = 0
        while now() < self.until:
            sequence += 1
            request_id = f"{self.kind}-{self.entry.number}-{self.number}-{sequence}"
            kept = client.socket is not None and client.answered > 0
            method, path = ("POST", "/booking/x") if self.kind == "unsafe" else ("GET", "/lookup/x")
            sent_at = now()
            status = client.send(method, path, request_id, b"x" * 200 if self.kind == "unsafe" else b"")
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.record.add(f"client: {request_id} -> {status or 'connection closed without an answer'}")
            if status == 0:
                if kept:
                    self.cut.append((sent_at, now(), request_id))
                time.sleep(0.2)
            time.sleep(0.05)
        client.close()


def scenario(record, trouble):
    platform = Platform(record, ENTRIES)
    servers = []
    try:
        sound = [Server(record, f"s-{number}", work_s=0.25) for number in (1, 2)]
        troubled = EndlessServer(record, "s-3", trouble, work_s=0.25)
        servers = [*sound, troubled]
        registrations = [Registration(platform.store, server, "dispatch", phase=0.4 * index)
                         for index, server in enumerate(servers)]
        platform.store.put_config(5, {"lookup": route("/lookup/", "dispatch"),
                                      "booking": route("/booking/", "dispatch", kind="unsafe")}, ["dispatch"])
        platform.wait_until_ready()
        watch = Watch(platform, record)
        until = now() + LENGTH_S
        callers = [Caller(entry, number, "safe" if number % 3 == 0 else "unsafe", record, until)
                   for entry in platform.entries for number in range(CLIENTS_PER_ENTRY)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        watch.active = False
        time.sleep(0.1)
        # In touch: up for contact_s before; the end of a process by itself is no excuse.
        reached_sound = {request_id for server in sound for _, request_id in server.arrivals}
        lost = []
        for caller in callers:
            for sent_at, cut_at, request_id in caller.cut:
                for started_at, ended_at in watch.ends[caller.entry.name]:
                    up = sent_at - started_at >= CONTACT_S and sent_at <= ended_at <= cut_at + 1.0
                    if up and request_id in reached_sound:
                        lost.append(request_id)
        total = sum(sum(caller.statuses.values()) for caller in callers)
        answers = sum(len(server.arrivals) for server in servers)
        peaks = ", ".join(f"{entry.name} {entry.peak_mb:.0f} MB" for entry in platform.entries)
        record.say(f"{total} requests; answers without end: {troubled.endless} of {troubled.answers} of s-3 and of "
                   f"{answers} of the service; peak memory: {peaks}")
        ends = {name: len(times) for name, times in watch.ends.items()}
        record.say(f"processes that ended by themselves: {ends}")
        broken = []
        if len(lost) > LOST_ALLOWED:
            broken.append(f"LOST: {len(lost)} requests of kept connections had reached a sound server and got no "
                          f"answer (allowed: {LOST_ALLOWED}); the first: {', '.join(lost[:5])}")
        for registration in registrations:
            registration.remove()
        return broken
    finally:
        platform.end()
        for server in servers:
            server.stop()


main(scenario, os.path.dirname(os.path.abspath(__file__)))
