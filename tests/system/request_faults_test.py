"""Outcomes reported to callers match the executions while backend servers fail during requests."""

import signal
import time
import unittest

from fleet import Caller, Fleet, RawBackend, Relay, ask, http_reply, raw_exchange, wait_until


def check_outcomes(test, backends, answers, mismatched_ids):
    """Compares the reported outcomes with the executions at the backend servers.

    Returns the numbers of answered, not run and unknown requests.
    """
    executed_ids = []
    for backend in backends:
        executed_ids += [request_id for request_id in backend.counts()["ids"] if request_id]
    test.assertEqual(len(executed_ids), len(set(executed_ids)), "a request was executed by two backend servers")
    test.assertEqual(sum(backend.counts()["doubled"] for backend in backends), 0)
    not_run = {request_id for request_id, answer in answers.items() if answer.outcome == "not_run"}
    test.assertEqual(not_run & set(executed_ids), set(), "reported as not_run, but executed")
    answered = {request_id for request_id, answer in answers.items() if answer.outcome == "answered"}
    test.assertEqual(answered - set(executed_ids), set(), "reported as answered, but not executed")
    test.assertEqual(mismatched_ids, [], "a response reached another request's caller")
    return len(answered), len(not_run), len(answers) - len(answered) - len(not_run)


class FaultsUnderNonIdempotentLoad(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log()
        self.backends = [self.fleet.start_backend(f"lots-{i}", service_ms=3) for i in range(3)]
        self.entries = [self.fleet.start_entry(f"entry-{i}") for i in range(2)]
        self.fleet.define_service(self.entries[0], "lots", self.backends, timeout_ms=1000)
        self.callers = []

    def load(self, seconds, fault):
        addresses = [entry.traffic for entry in self.entries]
        self.callers = [Caller(addresses, "/lots", f"caller-{i}") for i in range(8)]
        for caller in self.callers:
            caller.start()
        time.sleep(seconds / 3)
        fault()
        time.sleep(seconds * 2 / 3)
        answers, mismatched_ids = {}, []
        for caller in self.callers:
            answers |= caller.finish()
            mismatched_ids += caller.wrong
        return answers, mismatched_ids

    def test_requests_to_paused_server_have_unknown_outcome_and_others_succeed(self):
        def fault():
            self.backends[0].signal(signal.SIGSTOP)

        answers, mismatched_ids = self.load(3.0, fault)
        self.backends[0].signal(signal.SIGCONT)
        time.sleep(0.2)
        answered, _, unknown = check_outcomes(self, self.backends, answers, mismatched_ids)
        self.assertGreater(answered, 100)
        self.assertGreater(unknown, 0)

    def test_late_responses_never_reach_another_request(self):
        def fault():
            self.backends[0].control(mode="answer_late", late_ms=1300)

        answers, mismatched_ids = self.load(4.0, fault)
        answered, _, unknown = check_outcomes(self, self.backends, answers, mismatched_ids)
        self.assertGreater(answered, 100)
        self.assertGreater(unknown, 0)

    def test_refused_requests_are_retried_elsewhere_or_reported_as_not_run(self):
        def fault():
            self.backends[0].control(mode="refuse")

        answers, mismatched_ids = self.load(2.0, fault)
        answered, _, unknown = check_outcomes(self, self.backends, answers, mismatched_ids)
        self.assertGreater(answered, 100)
        self.assertEqual(unknown, 0)

    def test_when_all_servers_refuse_each_caller_receives_not_run(self):
        def fault():
            for backend in self.backends:
                backend.control(mode="refuse")

        answers, mismatched_ids = self.load(2.0, fault)
        _, not_run, unknown = check_outcomes(self, self.backends, answers, mismatched_ids)
        self.assertGreater(not_run, 10)
        self.assertEqual(unknown, 0)

    def test_only_requests_in_flight_to_killed_server_have_unknown_outcome(self):
        killed = {}

        def fault():
            killed.update(self.backends[0].counts())
            self.backends[0].kill()

        answers, mismatched_ids = self.load(2.0, fault)
        # The counts of the killed backend server are lost; only those of the others can be compared.
        survivors = self.backends[1:]
        executed_ids = [request_id for backend in survivors for request_id in backend.counts()["ids"]]
        self.assertEqual(len(executed_ids), len(set(executed_ids)))
        self.assertEqual(set(executed_ids) & set(killed["ids"]), set())
        not_run = {request_id for request_id, answer in answers.items() if answer.outcome == "not_run"}
        self.assertEqual(not_run & (set(executed_ids) | set(killed["ids"])), set())
        unknown = [request_id for request_id, answer in answers.items() if answer.outcome == "unknown"]
        self.assertLessEqual(len(unknown), len(self.callers) * 2)
        self.assertEqual(mismatched_ids, [])


class MisbehavingBackendServers(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log()
        self.entry = self.fleet.start_entry("entry-1")

    def serve(self, name, script, **spec):
        backend = RawBackend(f"raw-{name}", lambda head: (http_reply(), False) if "/load" in head else script(head))
        self.addCleanup(backend.stop)
        self.fleet.define_service(self.entry, name, [backend], **{"timeout_ms": 800, "hedge_percent": 0, **spec})
        return backend

    def post(self, path, body=b"x", **headers):
        return ask(self.entry.traffic, "POST", path, body, headers)

    def test_truncated_body_is_never_treated_as_complete(self):
        self.serve("cut", lambda head: (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", True))
        self.serve("cut-chunk", lambda head: (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf", True))
        self.serve("no-length", lambda head: (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps whole", True))
        for path, code in (("/cut", "401"), ("/cut-chunk", "401"), ("/no-length", "402")):
            answer = self.post(path)
            self.assertEqual((answer.status, answer.outcome, answer.headers["x-result-code"]), (502, "unknown", code))

    def test_malformed_missing_and_oversized_responses_are_unknown_with_a_code(self):
        self.serve("garbage", lambda head: (b"\x00\xffnot http at all\r\n\r\n", True))
        self.serve("silence", lambda head: (b"", False))
        self.serve("nothing", lambda head: (b"", True))
        self.serve("much", lambda head: (http_reply(b"y" * 5000), False), max_body_bytes=1000)
        self.serve("long-head", lambda head: (http_reply(headers=["x-long: " + "y" * 40000]), False))
        expected = {"/garbage": (502, "402"), "/silence": (504, "400"), "/nothing": (502, "401"), "/much": (502, "403"),
                    "/long-head": (502, "403")}
        for path, (status, code) in expected.items():
            answer = self.post(path)
            self.assertEqual((path, answer.status, answer.headers["x-result-code"]), (path, status, code))
            self.assertEqual(answer.outcome, "unknown")

    def test_a_request_that_may_have_run_is_never_sent_again(self):
        received_heads = []

        def script(head):
            received_heads.append(head)
            return b"", True

        backends = [RawBackend(f"lost-{i}", script) for i in range(3)]
        for backend in backends:
            self.addCleanup(backend.stop)
        self.fleet.define_service(self.entry, "lost", backends, timeout_ms=2000, retry_percent=100,
                                  probes_per_ten_seconds=0)
        for _ in range(20):
            self.assertEqual(self.post("/lost").outcome, "unknown")
        self.assertEqual(len(received_heads), 20)

    def test_second_response_on_a_connection_is_not_delivered(self):
        count = iter(range(100))
        self.serve("twice", lambda head: (http_reply(b"%d" % next(count)) + http_reply(b"stray"), False))
        bodies = [self.post("/twice").body for _ in range(10)]
        self.assertEqual(bodies, [b"%d" % i for i in range(10)])

    def test_failing_service_does_not_affect_another_service(self):
        self.serve("bad", lambda head: (b"\x00\x00\x00", True))
        good = self.fleet.start_backend("good-1")
        self.fleet.define_service(self.entry, "good", [good])
        for i in range(20):
            self.post("/bad")
            self.assertEqual(self.post("/good", **{"x-request-id": str(i)}).outcome, "answered")

    def test_disconnected_caller_cancels_its_request(self):
        backend = self.serve("slow", lambda head: (b"", False), timeout_ms=10000)
        with self.assertRaises(AssertionError):
            assert ask(self.entry.traffic, "POST", "/slow", b"x", timeout=0.3).status
        wait_until(lambda: backend.closed_by_peer > 0, 2, "the connection to the backend server is closed")

    def test_deadline_is_forwarded_and_expired_request_is_not_run(self):
        backend = self.serve("deadline", lambda head: (http_reply(), False))
        now_ms = int(time.time() * 1000)
        self.assertEqual(self.post("/deadline", **{"x-deadline-unix-ms": str(now_ms + 300)}).outcome, "answered")
        head = next(item for item in backend.requests if item.startswith("POST"))
        forwarded_deadline = int(head.lower().split("x-deadline-unix-ms: ")[1].split("\r\n")[0])
        self.assertLessEqual(abs(forwarded_deadline - (now_ms + 300)), 50)
        late = self.post("/deadline", **{"x-deadline-unix-ms": str(now_ms - 10)})
        self.assertEqual((late.status, late.outcome, late.headers["x-result-code"]), (504, "not_run", "306"))

    def test_request_marked_as_retry_is_not_retried(self):
        received_heads = []

        def script(head):
            received_heads.append(head)
            return http_reply(status=503), False

        backends = [RawBackend(f"deep-{i}", script) for i in range(3)]
        for backend in backends:
            self.addCleanup(backend.stop)
        self.fleet.define_service(self.entry, "deep", backends, retry_percent=100, hedge_percent=0,
                                  probes_per_ten_seconds=0)
        for _ in range(10):
            ask(self.entry.traffic, "GET", "/deep")
        self.assertGreater(len(received_heads), 10, "a failed idempotent request is retried")
        before = len(received_heads)
        for _ in range(10):
            ask(self.entry.traffic, "GET", "/deep", headers={"x-retry-attempt": "1"})
        self.assertEqual(len(received_heads), before + 10)


class SilentConnections(unittest.TestCase):
    def test_non_idempotent_request_avoids_connection_without_recent_activity(self):
        with Fleet() as fleet:
            fleet.start_log()
            entry = fleet.start_entry("entry-1")
            backend = fleet.start_backend("lots-1")
            relay = Relay(backend.address, name="lots-1")
            fleet.define_service(entry, "lots", [relay], timeout_ms=800, proof_of_life_ms=200, probes_per_ten_seconds=0)
            for i in range(4):
                self.assertEqual(ask(entry.traffic, "POST", "/lots", b"x", {"x-request-id": f"a{i}"}).outcome, "answered")
            time.sleep(0.3)
            relay.silence()
            for i in range(4):
                answer = ask(entry.traffic, "POST", "/lots", b"x", {"x-request-id": f"b{i}"})
                self.assertEqual(answer.outcome, "answered")
            self.assertEqual(backend.counts()["doubled"], 0)

    def test_timeout_on_silent_connection_drops_other_idle_connections(self):
        with Fleet() as fleet:
            fleet.start_log()
            entry = fleet.start_entry("entry-1")
            backend = fleet.start_backend("lots-1")
            relay = Relay(backend.address, name="lots-1")
            fleet.define_service(entry, "lots", [relay], timeout_ms=500, proof_of_life_ms=60000,
                                 probes_per_ten_seconds=0)
            callers = [Caller([entry.traffic], "/lots", f"c{i}") for i in range(6)]
            for caller in callers:
                caller.start()
            time.sleep(0.5)
            for caller in callers:
                caller.finish()
            relay.silence()
            outcomes = [ask(entry.traffic, "POST", "/lots", b"x", {"x-request-id": f"d{i}"}).outcome for i in range(6)]
            # The first request fails on its silent connection; its timeout also closes the other idle connections
            # of that age.
            self.assertEqual(outcomes, ["unknown"] + ["answered"] * 5)


class BadInput(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.fleet.start_log()
        self.entry = self.fleet.start_entry("entry-1")
        self.backend = self.fleet.start_backend("lots-1", service_ms=200)
        self.fleet.define_service(self.entry, "lots", [self.backend], max_body_bytes=100, max_in_flight=4,
                                  timeout_ms=5000)

    def test_each_invalid_request_has_its_status_and_code(self):
        cases = {
            b"GARBAGE\r\n\r\n": (b"400", b'"code":300'),
            b"GET / HTTP/1.1\r\nx: " + b"y" * 20000 + b"\r\n\r\n": (b"431", b'"code":301'),
            b"POST /lots HTTP/1.1\r\nContent-Length: 101\r\nConnection: close\r\n\r\n" + b"y" * 101: (b"413", b'"code":302'),
            b"GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n": (b"404", b'"code":303'),
            b"POST /lots HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n": (b"413", b'"code":302'),
        }
        for request, (status, code) in cases.items():
            received = raw_exchange(self.entry.traffic, request)
            self.assertTrue(received.startswith(b"HTTP/1.1 " + status), received[:200])
            self.assertIn(code, received)
            self.assertIn(b'"outcome":"not_run"', received)
        self.assertEqual(self.backend.counts()["started"], 0)

    def test_full_queue_rejects_immediately_with_retry_after(self):
        callers = [Caller([self.entry.traffic], "/lots", f"o{i}") for i in range(12)]
        for caller in callers:
            caller.start()
        time.sleep(0.15)
        rejected = ask(self.entry.traffic, "POST", "/lots", b"x")
        answers = {}
        for caller in callers:
            answers |= caller.finish()
        self.assertEqual((rejected.status, rejected.outcome, rejected.headers["x-result-code"]),
                         (503, "not_run", "305"))
        self.assertEqual(rejected.headers["retry-after"], "1")
        check_outcomes(self, [self.backend], answers, [])

    def test_header_cannot_inject_log_line(self):
        raw_exchange(self.entry.traffic, b"GET /x HTTP/1.1\r\ntraceparent: 00-\"evil\" event=forged\r\nConnection: close\r\n\r\n")
        self.entry.put("services", "bad name\nevent=forged", {})
        lines = wait_until(lambda: self.entry.log().splitlines(), what="log lines")
        self.assertFalse([line for line in lines if line.startswith("event=forged")])


if __name__ == "__main__":
    unittest.main()
