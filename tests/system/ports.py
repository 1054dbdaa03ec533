"""Ports for test programs that run in parallel."""

import os
import socket


class PortBlock:
    """A block of ports that only this test process uses.

    Test programs run in parallel, and another one could take a port between the check and its use. Each program
    therefore keeps the first port of its block bound until it exits. The blocks lie below the ephemeral port range.
    """

    FIRST, LAST, SIZE = 20000, 32000, 200

    def __init__(self):
        self._guard_socket, self._base = self._reserve_block()
        self._next = 1

    @classmethod
    def _reserve_block(cls):
        blocks = range(cls.FIRST, cls.LAST, cls.SIZE)
        start = os.getpid() % len(blocks)
        for base in [*blocks[start:], *blocks[:start]]:
            guard_socket = socket.socket()
            try:
                guard_socket.bind(("127.0.0.1", base))
                return guard_socket, base
            except OSError:
                guard_socket.close()
        raise RuntimeError("all port blocks are in use")

    def take(self, host, count=1):
        """Returns the first of @p count consecutive ports that are free on @p host."""
        for _ in range(self.SIZE):
            if self._next + count > self.SIZE:
                self._next = 1
            first = self._base + self._next
            self._next += count
            if all(self._is_free(host, port) for port in range(first, first + count)):
                return first
        raise RuntimeError("all ports of the port block are in use")

    @staticmethod
    def _is_free(host, port):
        with socket.socket() as probe:
            # The programs set this too, so a port with connections in TIME_WAIT counts as free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
                probe.listen()
                return True
            except OSError:
                return False


_ports = PortBlock()


def free_port(host="127.0.0.1", count=1):
    """Returns the first of @p count consecutive free ports, which no other test program uses."""
    return _ports.take(host, count)
