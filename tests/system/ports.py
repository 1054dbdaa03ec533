"""Ports for test programs that run side by side."""

import os
import socket


class PortBlock:
    """Ports of this test process alone.

    Test programs run side by side. A port that is looked up and bound later can be taken in between, so each program
    holds the first port of a block for as long as it runs. The blocks lie below the ports that the kernel hands out.
    """

    FIRST, LAST, SIZE = 20000, 32000, 200

    def __init__(self):
        self._guard, self._base = self._hold_block()
        self._next = 1

    @classmethod
    def _hold_block(cls):
        blocks = range(cls.FIRST, cls.LAST, cls.SIZE)
        start = os.getpid() % len(blocks)
        for base in [*blocks[start:], *blocks[:start]]:
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", base))
                return guard, base
            except OSError:
                guard.close()
        raise RuntimeError("all blocks of ports are in use")

    def take(self, host, count=1):
        """The first of @p count consecutive ports that nobody listens on at @p host."""
        for _ in range(self.SIZE):
            if self._next + count > self.SIZE:
                self._next = 1
            first = self._base + self._next
            self._next += count
            if all(self._is_free(host, port) for port in range(first, first + count)):
                return first
        raise RuntimeError("all ports of the block are in use")

    @staticmethod
    def _is_free(host, port):
        with socket.socket() as probe:
            # As the programs do, which may bind a port that still has connections in TIME_WAIT.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
                probe.listen()
                return True
            except OSError:
                return False


_ports = PortBlock()


def free_port(host="127.0.0.1", count=1):
    """A port, the first of @p count consecutive ones, that no other test program uses."""
    return _ports.take(host, count)
