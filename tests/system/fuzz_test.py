"""Fuzz tests with fixed seeds: mutated input neither stops an entry nor gives a caller a wrong response."""

import os
import random
import socket
import struct
import tempfile
import threading
import time
import unittest

from platformfleet import HOST, PlatformFleet, route
from rawbackend import RawBackend

# Manual runs use more rounds and other seeds.
SEED = int(os.environ.get("FUZZ_SEED", "11"))
ROUNDS = int(os.environ.get("FUZZ_ROUNDS", "150"))
MAX_RESPONSE_SECONDS = 3.0

SNIPPETS = [b"\r\n", b"\r\n\r\n", b"\0", b"\xff" * 9, b"Content-Length: 5\r\n", b"Content-Length: -1\r\n",
            b"Content-Length: 99999999999999999999\r\n", b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n",
            b"ffffffffffffffff\r\n", b": \r\n", b" HTTP/9.9", b"Connection: close\r\n", b"Expect: 100-continue\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n", b"Deadline-Ms: x\r\n", b"Deadline-Ms: -7\r\n", b"Attempt-Id: \r\n",
            b"Retry-After: never\r\n", b"Server-Load: 1,2\r\n", b"Server-Load: -1,9e99,0,x\r\n", b"A" * 5000]


def mutate(message, random_generator):
    """Returns the message with bytes changed, removed, repeated or inserted, or truncated."""
    for _ in range(random_generator.randint(1, 4)):
        position = random_generator.randrange(len(message) + 1)
        range_end = min(len(message), position + random_generator.randint(0, 30))
        mutation_kind = random_generator.randrange(5)
        if mutation_kind == 0:
            message = message[:position] + bytes([random_generator.randrange(256)]) + message[position + 1:]
        elif mutation_kind == 1:
            message = message[:position] + message[range_end:]
        elif mutation_kind == 2:
            message = message[:range_end] + message[position:]
        elif mutation_kind == 3:
            message = message[:position] + random_generator.choice(SNIPPETS) + message[position:]
        else:
            message = message[:position]
    return message


def send_in_parts(connection, message, random_generator):
    while message:
        size = random_generator.choice([1, 7, 100, 5000])
        connection.sendall(message[:size])
        message = message[size:]
        if random_generator.random() < 0.1:
            time.sleep(0.002)


class MutatingBackend(RawBackend):
    """Sends mutated responses; `mutated_ids` contains the requests whose responses may have been mutated."""

    def __init__(self, store, name, random_generator):
        self.random_generator = random_generator
        self.mutated_ids = set()
        super().__init__(store, name, mode="mutated")

    def mutated(self, connection, request_id):
        message = self.random_generator.choice([
            self.answer(request_id, 300),
            self.head(request_id, "Transfer-Encoding: chunked") + b"a\r\n0123456789\r\n0\r\n\r\n",
            self.answer(request_id) * 2,
            b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n"])
        self.mutated_ids.add(request_id)
        send_in_parts(connection, mutate(message, self.random_generator), self.random_generator)
        if self.random_generator.random() < 0.5:
            connection.close()


class SingleEntryFuzzTest(unittest.TestCase):
    SEEDS = ()

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.random_generator = random.Random(SEED)
        self.fleet = PlatformFleet(directory, entries=1, seeds=self.SEEDS)
        self.addCleanup(self.fleet.end)
        self.entry = self.fleet.entries[0]
        RawBackend(self.fleet.store, "good-1", service="desk")
        self.mutating = MutatingBackend(self.fleet.store, "bad-1", random.Random(SEED + 1))
        self.fleet.store.put_config(5, {"lots": route("/lots/", timeout=1.0), "desk": route("/desk/", "desk"),
                                        "weigh": route("/weigh/", "desk", kind="unsafe")})
        self.fleet.wait_until_serving("/desk/x")

    def assert_keeps_serving(self, round_number):
        self.assertIsNone(self.entry.child.poll(), f"the entry exited after round {round_number} of seed {SEED}")
        answer = self.entry.send("/desk/x", attempt=f"good-{round_number}")
        self.assertEqual((answer.status, answer.body.decode()), (200, f"good-{round_number}"),
                         f"round {round_number} of seed {SEED}")


class CallerRequests(SingleEntryFuzzTest):
    def request(self, number):
        body = b"w" * self.random_generator.choice([0, 10, 3000])
        fields = [f"Host: {HOST}", f"Attempt-Id: m{number}", "Deadline-Ms: 1000", f"Content-Length: {len(body)}"]
        kind = self.random_generator.choice(["GET /desk/x", "POST /weigh/x", "GET /none/x", "HEAD /desk/x"])
        return "\r\n".join([f"{kind} HTTP/1.1", *fields, "", ""]).encode() + body

    def test_entry_keeps_serving_after_mutated_requests(self):
        for round_number in range(ROUNDS):
            connection = self.entry.connect()
            try:
                send_in_parts(
                    connection, mutate(self.request(round_number) + self.request(round_number), self.random_generator),
                    self.random_generator)
                connection.settimeout(0.02)
                connection.recv(65536)
            except OSError:
                pass  # The connection was closed, or the entry still waits for the rest of the message.
            finally:
                connection.close()
            if round_number % 10 == 0:
                self.assert_keeps_serving(round_number)
        self.assert_keeps_serving(ROUNDS)


class BackendResponses(SingleEntryFuzzTest):
    def test_mutated_response_succeeds_only_with_own_seal_and_id(self):
        violations = []

        def call(caller):
            for round_number in range(ROUNDS // 5):
                request_id = f"c{caller}-{round_number}"
                started_at = time.monotonic()
                answer = self.entry.send("/lots/x", attempt=request_id, deadline_ms=1000)
                if time.monotonic() - started_at > MAX_RESPONSE_SECONDS:
                    violations.append((request_id, "late"))
                if answer.status == 200 and (answer.headers.get("server-seal") is None
                                             or answer.headers.get("attempt-id") != request_id):
                    violations.append((request_id, answer.headers))
        callers = [threading.Thread(target=call, args=(number,)) for number in range(5)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(violations, [], f"seed {SEED}")
        self.assertGreater(len(self.mutating.mutated_ids), ROUNDS // 2)
        self.assert_keeps_serving(ROUNDS)


class PeerMessages(SingleEntryFuzzTest):
    """A seed that sends mutated copies of the entry's heartbeats, and random frames."""

    SEEDS = ("127.0.1.9",)

    def receive_heartbeats(self, port):
        """Returns datagrams of the entry, which sends heartbeats to its seed."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as seed:
            seed.bind((self.SEEDS[0], port))
            seed.settimeout(5)
            return [seed.recv(4096) for _ in range(3)]

    def make_random_frame(self):
        body = bytes(self.random_generator.randrange(256) for _ in range(self.random_generator.choice([0, 3, 300])))
        size = self.random_generator.choice([len(body), len(body) + 5, 0, 2**31, 2**32 - 1])
        return struct.pack(">I", size) + self.random_generator.choice([b"", b"\x28\xb5\x2f\xfd"]) + body

    def test_entry_keeps_serving_after_mutated_peer_messages(self):
        port = self.fleet.ports[4]
        heartbeats = self.receive_heartbeats(port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for round_number in range(ROUNDS):
                for _ in range(20):
                    sender.sendto(mutate(self.random_generator.choice(heartbeats), self.random_generator)[:4096],
                                  (self.entry.host, port))
                with socket.create_connection((self.entry.host, port), timeout=5) as connection:
                    connection.sendall(self.make_random_frame())
                if round_number % 10 == 0:
                    self.assert_keeps_serving(round_number)
        self.assert_keeps_serving(ROUNDS)
        self.assertTrue(self.entry.lines("peer_message_rejected"))


if __name__ == "__main__":
    unittest.main()
