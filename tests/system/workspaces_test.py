"""Workspaces: requests need a key, servers learn the name of its workspace, and keys appear nowhere else."""

import collections
import json
import re
import signal
import subprocess
import tempfile
import threading
import time
import unittest
from pathlib import Path

from fleet import BIN, ask, wait_until
from platformfleet import HOST, PlatformFleet, route

# Longest time from the acknowledgement of a configuration until all entries act by it.
APPLY_SECONDS = 2.5
PAUSE_SECONDS = 3.0
BIG, BIG_2, SMALL, SHARED = "secretBig0411", "secretBig2-9c", "secretSmall77", "secretShared5"
UNKNOWN, BLANK, LONG, ACCENT = "secretNobody3", "secret blank6", "secretLong" + "x" * 246, "secretAcc\u00e9nt8"
KEYS = (BIG, BIG_2, SMALL, SHARED, UNKNOWN, BLANK, LONG, ACCENT)
TENANTS = {"big": {"api_keys": [BIG, BIG_2, SHARED, "", "secret blank6"]}, "small": {"api_keys": [SMALL, SHARED]}}
ROUTES = {"lots": route("/lots/"), "weigh": route("/weigh/", kind="unsafe"), "open": route("/open/", anonymous=True)}


def raw_request(path="/lots/x", fields=(), attempt="raw", body=None, trailers=(), close=True, method="GET"):
    """The bytes of a request; with @p trailers its body is chunked."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}", "Deadline-Ms: 2000", *fields]
    if close:
        lines.append("Connection: close")
    data = b""
    if trailers:
        lines.append("Transfer-Encoding: chunked")
        data = b"4\r\nbody\r\n0\r\n" + "".join(f"{line}\r\n" for line in trailers).encode() + b"\r\n"
    elif body is not None:
        lines.append(f"Content-Length: {len(body)}")
        data = body
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + data


def exchange(entry, data):
    """Sends @p data, whose last request closes the connection, and returns the statuses of all responses."""
    with entry.connect() as caller:
        caller.sendall(data)
        received = b""
        while part := caller.recv(65536):
            received += part
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)], received


class WorkspacesTest(unittest.TestCase):
    ENTRIES = 2
    MORE_SETTINGS = ""

    def setUp(self):
        self.directory = self.enterContext(tempfile.TemporaryDirectory())
        self.fleet = PlatformFleet(self.directory, entries=self.ENTRIES, more_settings=self.MORE_SETTINGS)
        self.addCleanup(self.fleet.end)
        self.store = self.fleet.store
        self.version = 4
        self.request_ids = set()

    def tearDown(self):
        time.sleep(0.2)  # A thread of its own writes the log.
        self.assert_no_key_is_shown()

    def outputs(self):
        """Texts of all processes that operators see, by their origin."""
        texts = {path.name: path.read_bytes() for path in Path(self.directory).glob("*.log")}
        for entry in self.fleet.entries:
            if entry.child.poll() is not None:
                continue
            for path in ("/metrics", "/v1/fleet", *(f"/v1/requests/{name}" for name in self.request_ids)):
                texts[entry.name + path] = ask(entry.api, "GET", path).body
            for arguments in (["fleet"], ["--json", "fleet"], *(["request", name] for name in self.request_ids)):
                tool = subprocess.run([BIN / "cardamomctl", f"--api={entry.api}", *arguments], capture_output=True,
                                      timeout=20)
                texts[f"{entry.name} cardamomctl {arguments}"] = tool.stdout + tool.stderr
        return texts

    # Guards against secrets in logs, metrics and tools; every test of this file ends with it.
    def assert_no_key_is_shown(self):
        for origin, text in self.outputs().items():
            for key in KEYS:
                for form in (key.encode(), key.encode("latin-1")):
                    self.assertNotIn(form, text, origin)

    def configure(self, tenants=TENANTS, routes=ROUTES):
        self.version += 1
        self.store.put_config(self.version, routes, tenants)

    def serve(self, tenants=TENANTS, routes=ROUTES):
        self.backends = [self.fleet.add_backend("s-1"), self.fleet.add_backend("s-2")]
        self.configure(tenants, routes)
        for entry in self.fleet.entries:
            wait_until(lambda: self.status(entry, BIG) == (200 if tenants is None or tenants else 401), 10,
                       f"{entry.name} serves", reporter=entry)
        return self.fleet.entries

    def status(self, entry, key=None, path="/lots/x", attempt="poll"):
        return entry.send(path, attempt=attempt, **({} if key is None else {"Key": key})).status

    def started(self):
        return sum(backend.counts()["started"] for backend in self.backends)

    def headers_of(self, attempt):
        """Headers, with names in lower case, of the requests with the id @p attempt that reached a server."""
        requests = [[(name.lower(), value) for name, value in fields]
                    for backend in self.backends for fields in ask(backend.address, "GET", "/headers").json]
        return [fields for fields in requests if ("attempt-id", attempt) in fields]

    def tenants_of(self, attempt):
        """Names of workspaces that reached a server with @p attempt, which must have no key."""
        found = self.headers_of(attempt)
        self.assertTrue(found, f"{attempt} reached no server")
        for fields in found:
            self.assertNotIn("key", [name for name, _ in fields])
        return [value for fields in found for name, value in fields if name == "tenant"]


class Keys(WorkspacesTest):
    # Guards against requests that run without a key, and against refusals of proper callers.
    def test_only_one_known_key_admits_a_request(self):
        entry = self.serve()[0]
        rejected = {
            "missing": [()], "unknown": [(f"Key: {UNKNOWN}",), (f"Key: {BIG}0",), (f"Key: {BIG[:-1]}",),
                                         (f"Key: {BIG.upper()}",)],
            "repeated": [(f"Key: {BIG}", f"Key: {BIG}"), (f"Key: {BIG}", f"kEY: {SMALL}"), ("Key:", f"Key: {BIG}")],
            "malformed": [("Key:",), ("Key:   ",), (f"Key: {BLANK}",), (f"Key: {LONG}",), (f"Key: {ACCENT}",),
                          (f"Key: {BIG}, {BIG}",), (f"Key: {BIG}\tx",)],
            "ambiguous": [(f"Key: {SHARED}",)]}
        started = self.started()
        for reason, requests in rejected.items():
            for number, fields in enumerate(requests):
                for method, path in (("GET", "/lots/x"), ("POST", "/weigh/x")):
                    attempt = f"{reason}-{number}-{method}"
                    statuses, text = exchange(entry, raw_request(path, fields, attempt, b"1", method=method))
                    self.assertEqual(statuses, [401], attempt)
                    self.assertIn(b'"code":313', text)
                    line = wait_until(lambda: entry.lines("key_rejected", id=attempt), 3, f"{attempt} is logged")[0]
                    self.assertIn(f"reason={reason} ", line)
                time.sleep(0.15)  # Log lines are limited to 20 in a second.
        self.assertEqual(self.started(), started)
        for number, name in enumerate(("Key", "key", "KEY", "kEy")):
            attempt = f"proper-{number}"
            self.assertEqual(exchange(entry, raw_request("/lots/x", [f"{name}:{BIG}  "], attempt))[0], [200])
            self.assertEqual(self.tenants_of(attempt), ["big"])
        metrics = ask(entry.api, "GET", "/metrics").body.decode()
        for reason, requests in rejected.items():
            self.assertRegex(metrics, f'keys_rejected_total{{reason="{reason}"}} [1-9]')
        self.assertIn("cardamomdeck_workspaces 2\n", metrics)
        self.assertIn("cardamomdeck_workspace_keys 3\n", metrics)

    def test_unusable_keys_are_logged_once_without_the_key(self):
        for entry in self.serve():
            lines = entry.lines("workspace_keys_unusable")
            self.assertEqual(len(lines), 1)
            self.assertIn("ambiguous=1 malformed=2 workspaces=big,small ", lines[0])

    def test_route_is_checked_before_the_key(self):
        entry = self.serve()[0]
        for key in (None, UNKNOWN, BIG):
            self.assertEqual(self.status(entry, key, "/other/x"), 404)

    def test_empty_table_refuses_every_key_and_no_table_refuses_none(self):
        entry = self.serve({})[0]
        self.assertEqual(self.status(entry), 401)
        self.assertEqual(self.status(entry, path="/open/x"), 200)
        self.configure(None)
        wait_until(lambda: self.status(entry) == 200, APPLY_SECONDS, "requests need no key")

    # Guards against refusals that callers take for final while an entry starts.
    def test_entry_without_configuration_answers_503(self):
        entry = self.fleet.entries[0]
        wait_until(lambda: self.status(entry) != 0, 5, "the entry responds")
        for key in (None, UNKNOWN, BIG):
            self.assertEqual(self.status(entry, key), 503)

    def test_log_lines_of_rejected_keys_are_bounded(self):
        entry = self.serve()[0]
        begin = time.monotonic()
        statuses, _ = exchange(entry, raw_request(attempt="many", close=False) * 299 + raw_request(attempt="many"))
        seconds = time.monotonic() - begin
        self.assertEqual(statuses, [401] * 300)
        self.assertLessEqual(len(entry.lines("key_rejected")), 20 * (2 + int(seconds)))
        time.sleep(1.1)
        self.status(entry, UNKNOWN, attempt="after")
        line = wait_until(lambda: entry.lines("key_rejected", id="after"), 3, "the line is logged")[0]
        self.assertRegex(line, r"unlogged=[1-9]\d+")


class Headers(WorkspacesTest):
    FORGED = [["Tenant: small"], ["tenant: small", "TENANT: nobody"], ["tEnAnT: small", "Tenant: big"], ["Tenant:"],
              ["Connection: Tenant", "Tenant: small"], ["Connection: keep-alive, tenant"],
              ["Connection: Key, Tenant", "Tenant: small"]]

    # Guards against callers that act for another workspace by stating its name.
    def test_server_gets_only_the_name_of_the_workspace(self):
        entry = self.serve()[0]
        for number, fields in enumerate(self.FORGED):
            for path, expected in (("/lots/x", ["big"]), ("/open/x", [])):
                attempt = f"forged-{number}-{path[1:5]}"
                # The connection is kept, so it is closed by the second request.
                data = raw_request(path, [*fields, f"Key: {BIG}"], attempt, close=False) + raw_request("/other/x")
                self.assertEqual(exchange(entry, data)[0], [200, 404], attempt)
                self.assertEqual(self.tenants_of(attempt), expected, attempt)

    # Guards against fields after the body that are taken for the caller's header.
    def test_trailers_neither_authorize_nor_reach_a_server(self):
        entry = self.serve()[0]
        forged = ["Tenant: small", f"Key: {SMALL}", "tenant: nobody"]
        for number, fields in enumerate([(), ("Trailer: Key, Tenant",), ("Connection: Tenant",)]):
            for path, key, status, expected in (("/weigh/x", BIG, 200, ["big"]), ("/weigh/x", None, 401, None),
                                                ("/open/x", None, 200, [])):
                attempt = f"trailers-{number}-{path[1:5]}-{key is None}"
                key_fields = [f"Key: {key}"] if key else []
                data = raw_request(path, [*fields, *key_fields], attempt, trailers=forged, close=False, method="POST")
                self.assertEqual(exchange(entry, data + raw_request("/other/x"))[0], [status, 404], attempt)
                if expected is None:
                    self.assertEqual(self.headers_of(attempt), [])
                else:
                    self.assertEqual(self.tenants_of(attempt), expected, attempt)

    # Guards against changed requests where the configuration has no workspaces: the names may mean something else.
    def test_headers_pass_without_workspaces(self):
        entry = self.serve(None)[0]
        exchange(entry, raw_request(fields=["Key: free text", "Tenant: mine", "Key: two"], attempt="untouched"))
        fields = self.headers_of("untouched")[0]
        self.assertEqual([item for item in fields if item[0] in ("key", "tenant")],
                         [("key", "free text"), ("key", "two"), ("tenant", "mine")])
        self.assertNotIn("workspaces", ask(entry.api, "GET", "/metrics").body.decode())

    # Guards against a connection whose later requests inherit the workspace of an earlier one.
    def test_each_request_of_a_connection_has_its_own_key(self):
        entry = self.serve()[0]
        cases = [(BIG, 200, "big"), (SMALL, 200, "small"), (None, 401, None), (BIG_2, 200, "big"),
                 (UNKNOWN, 401, None), (SMALL, 200, "small"), (SHARED, 401, None), (BIG, 200, "big")] * 4
        requests = [raw_request(fields=[f"Key: {key}"] if key else [], attempt=f"piped-{number}",
                                close=number == len(cases) - 1) for number, (key, _, _) in enumerate(cases)]
        self.assertEqual(exchange(entry, b"".join(requests))[0], [status for _, status, _ in cases])
        with entry.connect() as caller:
            for number, request in enumerate(requests):
                caller.sendall(request.replace(b"piped-", b"kept-"))
                received = b""
                while b"\r\n\r\n" not in received or not received.endswith(b"}"):
                    received += caller.recv(65536)
                self.assertIn(f" {cases[number][1]} ".encode(), received.split(b"\r\n")[0])
        for kind in ("piped", "kept"):
            for number, (_, status, name) in enumerate(cases):
                if status == 200:
                    self.assertEqual(self.tenants_of(f"{kind}-{number}"), [name])
                else:
                    self.assertEqual(self.headers_of(f"{kind}-{number}"), [])


class InForce(WorkspacesTest):
    ENTRIES = 3

    def changed(self):
        """The configuration in which BIG has moved to the other workspace and BIG_2 is withdrawn."""
        return {"big": {"api_keys": []}, "small": {"api_keys": [SMALL, BIG]}}

    # Guards against a withdrawn key that some entry lets through again, and requests of a moved key under its old name.
    def test_moved_and_withdrawn_keys_are_in_force_everywhere_in_time(self):
        entries = self.serve()
        results = collections.defaultdict(list)
        loaded = True

        def call(entry):
            number = 0
            while loaded:
                number += 1
                sent_at = time.monotonic()
                attempt = f"{entry.name}-{number}"
                statuses = (self.status(entry, BIG, attempt=attempt), self.status(entry, BIG_2, attempt="withdrawn"))
                results[entry.name].append((sent_at, attempt, *statuses))

        callers = [threading.Thread(target=call, args=(entry,)) for entry in entries]
        for caller in callers:
            caller.start()
        try:
            time.sleep(0.3)
            self.configure(self.changed())
            acknowledged_at = time.monotonic()
            time.sleep(APPLY_SECONDS + 1)
        finally:
            loaded = False
            for caller in callers:
                caller.join()
        name_by_attempt = {}
        for backend in self.backends:
            for fields in ask(backend.address, "GET", "/headers").json:
                fields = {name.lower(): value for name, value in fields}
                name_by_attempt[fields["attempt-id"]] = fields.get("tenant")
        for entry in entries:
            calls = results[entry.name]
            self.assertEqual({status for _, _, status, _ in calls}, {200}, "a moved key is always known")
            statuses = [status for _, _, _, status in calls]
            self.assertEqual(statuses, sorted(statuses), "a withdrawn key stays refused")
            self.assertEqual(statuses[-1], 401)
            names = [name_by_attempt[attempt] for _, attempt, _, _ in calls if attempt in name_by_attempt]
            self.assertEqual(names, sorted(names), "a moved key stays moved")
            self.assertEqual(names[-1], "small")
            late = [status for sent_at, _, _, status in calls if sent_at > acknowledged_at + APPLY_SECONDS]
            self.assertEqual(set(late), {401})

    # Guards against an entry that starts with the view of a peer that has missed the withdrawal.
    def test_withdrawn_key_stays_refused_at_restarted_entries(self):
        paused_entry = self.serve()[0]
        paused_entry.signal(signal.SIGSTOP)
        self.configure(self.changed())
        time.sleep(PAUSE_SECONDS)
        for entry in self.fleet.entries[1:]:
            entry.kill()
        # The paused entry is the only seed; it resumes with its old view when the other entries start.
        restarted = [self.fleet.start_entry(number) for number in (1, 2)]
        paused_entry.signal(signal.SIGCONT)
        deadline = time.monotonic() + 3
        while time.monotonic() < deadline:
            for entry in (paused_entry, *restarted):
                self.assertIn(self.status(entry, BIG_2), (401, 503, 0))
        for number, entry in enumerate((paused_entry, *restarted)):
            self.assertEqual(self.status(entry, BIG_2), 401)
            self.assertEqual(self.status(entry, BIG, attempt=f"moved-{number}"), 200)
            self.assertEqual(self.tenants_of(f"moved-{number}"), ["small"])

    # Guards against requests that waited in the socket of a paused entry and are let through by its old view.
    def test_withdrawn_key_stays_refused_after_a_pause(self):
        paused_entry = self.serve()[2]
        paused_entry.signal(signal.SIGSTOP)
        self.configure(self.changed())
        time.sleep(PAUSE_SECONDS)
        results = collections.defaultdict(list)
        callers = [threading.Thread(target=lambda key=key, number=number: results[key].append(
            (f"resumed-{number}", self.status(paused_entry, key, attempt=f"resumed-{number}"))))
            for number, key in enumerate((BIG, BIG_2) * 10)]
        for caller in callers:
            caller.start()
        time.sleep(0.2)
        paused_entry.signal(signal.SIGCONT)
        for caller in callers:
            caller.join()
        self.assertEqual({status for _, status in results[BIG_2]}, {401})
        self.assertEqual({status for _, status in results[BIG]}, {200})
        for attempt, _ in results[BIG]:
            self.assertEqual(self.tenants_of(attempt), ["small"])

    def test_keys_stay_in_force_while_the_store_is_away(self):
        entry = self.serve()[0]
        self.store.control(mode="down")
        time.sleep(PAUSE_SECONDS)
        self.assertEqual(self.status(entry, BIG), 200)
        self.assertEqual(self.status(entry, UNKNOWN), 401)
        self.store.control(mode="ok")


class Regions(WorkspacesTest):
    ENTRIES = 1
    MORE_SETTINGS = '[zones]\nzone-a = "east"\nzone-b = "west"\n'

    def call(self, entry, path, key, count=20):
        """Statuses and servers of @p count requests."""
        answers = [entry.send(path, attempt="region", Key=key) for _ in range(count)]
        return ({answer.status for answer in answers},
                {answer.json["backend"] for answer in answers if answer.status == 200})

    # Guards against requests that run outside the regions of their workspace or route, and against callers that wait for
    # a server that may never run their request.
    def test_only_servers_of_allowed_regions_run_requests(self):
        tenants = {"big": {"api_keys": [BIG], "allowed_regions": ["west"]}, "small": {"api_keys": [SMALL]},
                   "far": {"api_keys": [SHARED], "allowed_regions": ["north", "east"]}}
        routes = ROUTES | {"east": route("/east/", allowed_regions=["east"]),
                           "both": route("/both/", allowed_regions=["west", "east"]),
                           "open": route("/open/", anonymous=True, allowed_regions=["west"])}
        entry = self.serve_both(tenants, routes)
        self.assertEqual(self.call(entry, "/lots/x", SMALL)[0], {200})
        self.assertEqual(self.call(entry, "/lots/x", BIG), ({200}, {"s-west"}))
        self.assertEqual(self.call(entry, "/both/x", BIG), ({200}, {"s-west"}))
        self.assertEqual(self.call(entry, "/east/x", SMALL), ({200}, {"s-east"}))
        self.assertEqual(self.call(entry, "/both/x", SHARED), ({200}, {"s-east"}))
        self.assertEqual(self.call(entry, "/open/x", UNKNOWN), ({200}, {"s-west"}))
        started, begin = self.started(), time.monotonic()
        self.assertEqual(self.call(entry, "/east/x", BIG), ({503}, set()))
        self.assertLess(time.monotonic() - begin, 2.0, "20 requests are rejected at once")
        self.assertEqual(self.started(), started)
        # A server of an allowed region that is away is not replaced by one of another region.
        self.backends[1].remove()
        wait_until(lambda: self.call(entry, "/lots/x", BIG, 1)[0] == {503}, 5, "no server of the region is left")
        self.assertEqual(self.call(entry, "/lots/x", BIG), ({503}, set()))

    def serve_both(self, tenants, routes):
        self.backends = [self.fleet.add_backend("s-east", zone="zone-a"),
                         self.fleet.add_backend("s-west", zone="zone-b")]
        self.configure(tenants, routes)
        entry = self.fleet.entries[0]
        for path, key in (("/lots/x", BIG), ("/east/x", SMALL)):
            wait_until(lambda: self.status(entry, key, path) == 200, 10, "the entry serves", reporter=entry)
        return entry


class Secrets(WorkspacesTest):
    # Guards against keys in error texts: of configurations that cannot be read, of requests that are not valid HTTP, and
    # of peers' messages. The outputs are searched after the test.
    def test_faults_do_not_show_keys(self):
        entry = self.serve()[0]
        for number, key in enumerate((None, BIG, SMALL, UNKNOWN)):
            self.request_ids.add(f"followed-{number}")
            self.status(entry, key, attempt=f"followed-{number}")
            self.status(entry, key, "/other/x", attempt=f"followed-{number}")
        text = {"config_version": "000000f0", "routes": ROUTES, "services": {}, "tenants": TENANTS}
        broken = [json.dumps(text | fields) for fields in (
            {"tenants": [BIG]}, {"tenants": BIG}, {"tenants": {"big": {"api_keys": BIG}}},
            {"tenants": {"big": {"api_keys": [BIG], "priority": SMALL}}}, {"tenants": {f"{BIG}\r\n": {}}},
            {"tenants": {"big": {"api_keys": [{BIG: SMALL}]}}})]
        whole = json.dumps(text)
        at = whole.index(BIG) + 4
        broken += [whole[:at], whole[:at] + "\x01" + whole[at:], whole[:at] + '"' + whole[at:],
                   whole.replace(BIG, BIG + "\\q")]
        for number, value in enumerate(broken):
            before = self.rejected_records()
            self.store.write("keyed.op", "config", value.encode())
            wait_until(lambda: self.rejected_records() > before, 5, f"broken configuration {number} is logged")
        self.assertEqual(self.status(entry, BIG), 200, "the last readable configuration stays in force")
        for data in (f"GET /lots/x HTTP/1.1\r\nKey : {BIG}\r\n\r\n", f"GET /lots/x HTTP/1.1\r\nKey\x01: {BIG}\r\n\r\n",
                     f"GET /lots/x HTTP/1.1\r\nKey: {BIG}\r\nbroken\r\n\r\n", f"{BIG}\r\n\r\n",
                     f"GET /lots/x HTTP/1.1\r\nHost: {HOST}\r\nKey: {BIG}\r\nA: {'y' * 20000}\r\n\r\n"):
            self.assertIn(exchange(entry, data.encode())[0], ([400], [431]))
        entry.signal(signal.SIGTERM)
        entry.child.wait(timeout=10)

    def rejected_records(self):
        return sum(len(entry.lines("record_rejected", key="config")) for entry in self.fleet.entries)

    # The search must find what it is meant to find.
    def test_search_covers_all_outputs(self):
        entry = self.serve()[0]
        self.request_ids.add("covered")
        self.status(entry, BIG, attempt="covered")
        wait_until(lambda: entry.lines("request", id="covered"), 3, "the request is logged")
        texts = self.outputs()
        for origin, part in (("entry-0.log", b"id=covered"), ("entry-0/metrics", b"workspace_keys"),
                             ("entry-0/v1/fleet", b"s-1"), ("entry-0/v1/requests/covered", b"workspace=big"),
                             ("entry-0 cardamomctl ['fleet']", b"s-1"),
                             ("entry-0 cardamomctl ['request', 'covered']", b"workspace=big")):
            self.assertIn(part, texts[origin], origin)


if __name__ == "__main__":
    unittest.main()
