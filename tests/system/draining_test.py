"""Graceful shutdown and draining interrupt no request, and draining servers get no new requests."""

import http.client
import signal
import time
import unittest

from fleet import Caller, Fleet, RawBackend, ask, http_reply, wait_until

NO_NEW_REQUESTS_SECONDS = 4.0


class DrainUnderLoad(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log(ports=4)
        self.backends = [self.fleet.start_backend(f"lots-{i}", service_ms=10) for i in range(3)]
        self.entries = [self.fleet.start_entry(f"entry-{i}", port=i, vm_list=self.fleet.log_addresses[i])
                        for i in range(3)]
        self.fleet.define_service(self.entries[0], "lots", self.backends, timeout_ms=3000, probe_age_ms=50)
        self.callers = []

    def start_load(self):
        addresses = [entry.traffic for entry in self.entries]
        self.callers = [Caller(addresses, "/lots", f"c{i}") for i in range(6)]
        for caller in self.callers:
            caller.start()
        time.sleep(0.5)

    def finish_load(self):
        answers = {}
        for caller in self.callers:
            answers |= caller.finish()
        return answers

    def drain(self, name, entry, draining=True):
        spec = entry.resource("backends", name)["spec"] | {"draining": draining}
        return entry.put("backends", name, spec)

    def started_requests(self, backend):
        return backend.counts()["started"]

    def assert_no_new_requests(self, backend):
        """The server must get no new requests once NO_NEW_REQUESTS_SECONDS have passed."""
        time.sleep(NO_NEW_REQUESTS_SECONDS)
        before = self.started_requests(backend)
        time.sleep(0.7)
        self.assertEqual(self.started_requests(backend), before)

    def test_stopping_drained_server_interrupts_no_request(self):
        self.start_load()
        self.assertEqual(self.drain("lots-0", self.entries[1]).status, 200)
        wait_until(lambda: self.entries[2].condition("backends", "lots-0", "drained").get("status"), 15, "drained")
        self.backends[0].kill()
        time.sleep(0.5)
        outcomes = {answer.outcome for answer in self.finish_load().values()}
        self.assertEqual(outcomes, {"answered"})

    def test_drain_waits_for_paused_entry_with_request_in_flight(self):
        self.backends[0].control(service_ms=0.1)
        for backend in self.backends[1:]:
            self.drain(backend.name, self.entries[0])
        self.backends[0].control(mode="answer_late", late_ms=1500)
        caller = Caller([self.entries[1].traffic], "/lots", "held", pause=5)
        caller.start()
        wait_until(lambda: self.backends[0].counts()["held"] == 1, 3, "the request is in flight")
        self.entries[1].signal(signal.SIGSTOP)
        self.drain(self.backends[0].name, self.entries[0])
        condition = self.entries[0].condition("backends", "lots-0", "drained")
        self.assertFalse(condition["status"], "a paused entry may have a request in flight")
        self.assertIn("entry-1", condition["waiting_for"])
        self.entries[1].signal(signal.SIGCONT)
        wait_until(lambda: self.entries[0].condition("backends", "lots-0", "drained").get("status"), 12, "drained")
        self.assertEqual(self.backends[0].counts()["held"], 0)
        self.assertEqual([answer.outcome for answer in caller.finish().values()], ["answered"])

    def test_drain_completes_after_entry_with_request_in_flight_is_killed(self):
        self.start_load()
        self.entries[2].kill()
        self.assertEqual(self.drain("lots-0", self.entries[0]).status, 200)
        wait_until(lambda: self.entries[0].condition("backends", "lots-0", "drained").get("status"), 12, "drained")
        self.finish_load()

    def test_vm_list_stops_new_requests_while_log_service_is_down(self):
        self.start_load()
        for port in range(3):
            self.fleet.log_control(port, vms={"version": 3, "live": ["lots-1", "lots-2"], "leaving": ["lots-0"]})
        self.assert_no_new_requests(self.backends[0])
        answers = self.finish_load()
        self.assertEqual({answer.outcome for answer in answers.values()}, {"answered"})

    def test_operator_cannot_undrain_server_that_vm_list_drains(self):
        self.fleet.log_control(0, vms={"version": 3, "live": ["lots-1", "lots-2"], "leaving": ["lots-0"]})
        time.sleep(1.5)
        self.assertEqual(self.drain("lots-0", self.entries[1], draining=False).status, 200)
        self.start_load()
        self.assert_no_new_requests(self.backends[0])
        self.finish_load()
        condition = self.entries[0].condition("backends", "lots-0", "draining")
        self.assertEqual((condition["status"], condition["reason"]), (True, "vm_list"))

    def test_drain_signal_of_backend_server_spreads_during_store_outage(self):
        self.start_load()
        self.fleet.all_logs(mode="down")
        self.backends[0].control(draining=True)
        self.assert_no_new_requests(self.backends[0])
        for entry in self.entries:
            self.assertIn("lots-0", entry.status()["leaving_backends"])
        self.backends[0].control(draining=False)
        wait_until(lambda: "lots-0" not in self.entries[0].status()["leaving_backends"], 8,
                   "the shutdown announcement is withdrawn")
        self.assertEqual({answer.outcome for answer in self.finish_load().values()}, {"answered"})


class EntryShutdown(unittest.TestCase):
    def test_sigterm_removes_address_before_stopping_and_interrupts_no_request(self):
        with Fleet() as fleet:
            fleet.start_log()
            backend = fleet.start_backend("lots-0", service_ms=5)
            entries = [fleet.start_entry(f"entry-{i}", extra=["--leave_time_ms=4000"]) for i in range(3)]
            fleet.define_service(entries[0], "lots", [backend], timeout_ms=3000)
            addresses = [entry.traffic for entry in entries]

            class AddressRefreshingCaller(Caller):
                """Reads the addresses of the entries again whenever the previous list expires."""

                def refresh(self):
                    for seed in addresses:
                        answer = ask(seed, "GET", f"/.well-known/cardamomdeck/addresses?caller={self._prefix}")
                        if answer.status == 200:
                            self._addresses = [item["address"] for item in answer.json["addresses"]]
                            self.addresses_expire_at = answer.json["expires_unix_ms"] / 1000
                            return

                def run(self):
                    number = 0
                    self.addresses_expire_at = 0
                    while not self._stop_event.is_set():
                        if time.time() >= self.addresses_expire_at:
                            self.refresh()
                        request_id = f"{self._prefix}-{number}"
                        address = self._addresses[number % len(self._addresses)]
                        self.answers[request_id] = ask(address, "POST", "/lots", b"x", {"x-request-id": request_id})
                        number += 1

            callers = [AddressRefreshingCaller([], "/lots", f"c{i}") for i in range(6)]
            for caller in callers:
                caller.start()
            time.sleep(1)
            entries[1].signal(signal.SIGTERM)
            wait_until(lambda: entries[1].child.poll() is not None, 15, "the entry has stopped")
            time.sleep(0.5)
            answers = {}
            for caller in callers:
                answers |= caller.finish()
            failed = {request_id: (answer.status, answer.body[:100])
                      for request_id, answer in answers.items() if answer.outcome != "answered"}
            self.assertEqual(failed, {})
            self.assertEqual(entries[1].child.returncode, 0)
            members = [member["name"] for member in entries[0].status()["members"]]
            self.assertNotIn("entry-1", members)
            self.assertEqual(backend.counts()["doubled"], 0)

    # Guards against a request of a new connection that is passed on after the entry has found itself idle, while it
    # still leaves the membership, and is cut when the process ends.
    def test_request_that_arrives_last_is_answered_while_the_store_is_down(self):
        with Fleet() as fleet:
            fleet.start_log()
            backend = fleet.start_backend("lots-0", service_ms=3000, slots=8)
            entry = fleet.start_entry("entry-0", extra=["--leave_time_ms=3000"])
            fleet.define_service(entry, "lots", [backend], timeout_ms=8000)
            host, port = entry.traffic.rsplit(":", 1)
            fleet.all_logs(mode="down")
            stopped_at = time.monotonic() + 3.0
            entry.signal(signal.SIGTERM)
            # The entry waits 0.5 s for the first request of a new connection.
            time.sleep(stopped_at - 0.1 - time.monotonic())
            connections = [http.client.HTTPConnection(host, int(port), timeout=10) for _ in range(3)]
            for connection in connections:
                self.addCleanup(connection.close)
                connection.connect()
            for number, connection in enumerate(connections):
                time.sleep(max(0.0, stopped_at + 0.2 + 0.05 * number - time.monotonic()))
                connection.request("POST", "/lots", body=b"x", headers={"x-request-id": f"last-{number}"})
            for connection in connections:
                response = connection.getresponse()
                self.assertEqual((response.status, response.headers["x-outcome"]), (200, "answered"))
            wait_until(lambda: entry.child.poll() is not None, 10, "the entry has stopped")

    def test_stop_waits_for_a_request_that_takes_longer_than_a_minute(self):
        with Fleet() as fleet:
            fleet.start_log()

            def respond(head):
                time.sleep(0 if "/load" in head else 64.5)
                return http_reply(), False

            backend = RawBackend("lots-0", respond)
            self.addCleanup(backend.stop)
            entry = fleet.start_entry("entry-0", extra=["--leave_time_ms=3000"])
            fleet.define_service(entry, "lots", [backend], timeout_ms=90_000)
            entry.signal(signal.SIGTERM)
            answer = ask(entry.traffic, "POST", "/lots", b"x", {"x-request-id": "long"}, timeout=80)
            self.assertEqual((answer.status, answer.outcome), (200, "answered"), answer.body)
            wait_until(lambda: entry.child.poll() is not None, 10, "the entry has stopped")


if __name__ == "__main__":
    unittest.main()
