"""Priorities of workspaces while the servers are full."""

import collections
import threading
import time
import unittest

from workspaces_test import BIG, SMALL, WorkspacesTest


class Priorities(WorkspacesTest):
    ENTRIES = 1
    # The urgent callers alone keep the servers full: 16 of them wait 0.48 s with four slots and 0.12 s for each request.
    URGENT_CALLERS, LATE_CALLERS = 16, 8

    # Guards against a workspace whose priority has no effect: when not all requests fit, it must be served first.
    def test_urgent_workspace_is_served_first_when_servers_are_full(self):
        tenants = {"late": {"api_keys": [BIG], "priority": 7}, "urgent": {"api_keys": [SMALL], "priority": 0}}
        entry = self.serve(tenants)[0]
        for backend in self.backends:
            backend.control(service_ms=120)
        served = collections.Counter()
        until = time.monotonic() + 4

        def call(key):
            while time.monotonic() < until:
                answer = entry.send("/weigh/x", "POST", b"1", attempt="load", Key=key)
                served[key, answer.status] += 1
                if answer.status == 503:
                    time.sleep(float(answer.headers["retry-after"]))

        callers = [threading.Thread(target=call, args=(key,))
                   for key in [SMALL] * self.URGENT_CALLERS + [BIG] * self.LATE_CALLERS]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        # In trials urgent callers were served 7 to 9 times as often as late ones, and 0.9 to 1.9 times without priorities.
        self.assertGreater(served[SMALL, 200] / self.URGENT_CALLERS, 3 * served[BIG, 200] / self.LATE_CALLERS, served)
        self.assertGreater(served[BIG, 503], 0, served)


if __name__ == "__main__":
    unittest.main()
