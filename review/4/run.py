"""The store drops its history between two reads while one server leaves; the next server then starts to drain."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import CONTACT_S, DRAIN_S, Client, Platform, Registration, Server, main, now, response, route

ENTRIES = 3
CLIENTS_PER_ENTRY = 3
WARM_UP_S = 4.0
# A server serves for drain_s after the report and a little longer, at times many seconds.
FIRST_SERVES_S = 3.0
SECOND_SERVES_S = 12.0
TOPIC = "keyed.servers"


class PlainServer(Server):
    """Does not tell its load. While it leaves, its health check fails and its answers close their connections."""

    def __init__(self, record, name, **values):
        self.leaving = False
        super().__init__(record, name, tells_load=False, **values)

    def health_response(self):
        return response(503 if self.leaving else 200, b"{}", [("Instance-Id", self.name)])

    def load_headers(self):
        return [("Connection", "close")] if self.leaving else []


class Caller(threading.Thread):
    def __init__(self, entry, number, record):
        super().__init__(daemon=True)
        self.entry, self.number, self.record = entry, number, record
        self.active = True
        self.sent = {}
        self.failed = []

    def run(self):
        client = Client(self.entry.frontend)
        sequence = 0
        unsafe = self.number % 2 == 0
        while self.active:
            sequence += 1
            request_id = f"{'booking' if unsafe else 'lookup'}-{self.entry.number}-{self.number}-{sequence}"
            method, path = ("POST", "/booking/x") if unsafe else ("GET", "/lookup/x")
            self.sent[request_id] = now()
            status = client.send(method, path, request_id, b"x" * 200 if unsafe else b"")
            self.record.add(f"client: {request_id} -> {status or 'connection closed without an answer'}")
            if status != 200:
                self.failed.append((request_id, status))
            time.sleep(0.03)
        client.close()


class Reads:
    """Waits for reads of the servers' records by the entries."""

    def __init__(self, store):
        self._condition = threading.Condition()
        self._last = None
        store.on_read = self._note

    def _note(self, path, topic, status):
        if topic == TOPIC:
            with self._condition:
                self._last = (path, status, now())
                self._condition.notify_all()

    def wait(self, path, seconds):
        until = now() + seconds
        with self._condition:
            self._last = None
            while self._last is None or self._last[:2] != (path, 200):
                if not self._condition.wait(until - now()):
                    raise RuntimeError(f"no read by {path}")
            return self._last[2]


def scenario(record, trouble):
    platform = Platform(record, ENTRIES)
    servers = []
    try:
        servers = [PlainServer(record, f"s-{number}", work_s=0.1) for number in (1, 2, 3, 4)]
        first, second = servers[:2]
        registrations = [Registration(platform.store, server, "desk") for server in servers]
        platform.store.put_config(5, {"lookup": route("/lookup/", "desk"),
                                      "booking": route("/booking/", "desk", kind="unsafe")}, ["desk"])
        platform.wait_until_ready()
        callers = [Caller(entry, number, record) for entry in platform.entries for number in range(CLIENTS_PER_ENTRY)]
        for caller in callers:
            caller.start()
        time.sleep(WARM_UP_S)
        reads = Reads(platform.store)
        record.add("planned: s-1 leaves")
        first.leaving = True
        registrations[0].drain()
        time.sleep(FIRST_SERVES_S)
        # The others report about every 1.5 s, all at about the same time; what follows fits between two such reports.
        while True:
            read_at = reads.wait("/v1/log-read", 5)
            if registrations[1].next_at - read_at > 1.0:
                break
        time.sleep(0.05)
        registrations[0].remove()
        first.end()
        time.sleep(0.05)
        dropped_at = now()
        if trouble:
            platform.store.drop_history(TOPIC)
            record.say("the store drops its history")
        reads.wait("/v1/log-newest" if trouble else "/v1/log-read", 5)
        time.sleep(0.05)
        record.add("planned: s-2 leaves")
        second.leaving = True
        registrations[1].drain()
        time.sleep(SECOND_SERVES_S)
        registrations[1].remove()
        second.end()
        time.sleep(1.0)
        for caller in callers:
            caller.active = False
        for caller in callers:
            caller.join()
        # Only acknowledgements of the stable store count.
        acknowledged = [at for at in registrations[1].draining_acknowledged if at >= dropped_at + CONTACT_S]
        bound = acknowledged[0] + DRAIN_S
        late = [(at, request_id) for at, request_id in second.arrivals if at > bound]
        first_bound = registrations[1].draining_acknowledged[0] + DRAIN_S
        after_first = [request_id for at, request_id in second.arrivals if at > first_bound]
        failed = [f"{request_id} ({status})" for caller in callers for request_id, status in caller.failed
                  if second.runs.get(request_id) and request_id.startswith("booking")]
        total = sum(len(caller.sent) for caller in callers)
        record.say(f"{total} requests; s-2 got {len(after_first)} later than {DRAIN_S} s after its first report as "
                   f"draining, {len(late)} of them later than {DRAIN_S} s after one that the store acknowledged while "
                   f"it was stable; unsafe requests that s-2 had begun and that failed: {', '.join(failed) or 'none'}")
        broken = []
        if late:
            entries = sorted({request_id.split("-")[1] for _, request_id in late})
            broken.append(f"DRAIN: {len(late)} requests reached s-2 later than {DRAIN_S} s after the acknowledgement, "
                          f"the last {late[-1][0] - acknowledged[0]:.1f} s after it, from {len(entries)} entries")
        return broken
    finally:
        platform.end()
        for server in servers:
            server.stop()


main(scenario, os.path.dirname(os.path.abspath(__file__)))
