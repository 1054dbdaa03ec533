"""Compares methods of sharing a workspace's limit between entries that know only demands; see docs/design/QUOTAS.md.

The load is that of libs/quota/tests/quotareplayresult.cpp: 85 workspaces, 137 entries, limits of 1.6 times the usual rate.
Methods: equal shares; shares by an entry's own recent demand; shares by the demands that entries tell each other with
their heartbeats, which are 1.5 s old on average in a large fleet.
"""

import collections
import math
import random

ENTRIES, SECONDS, WINDOW, EXCESS, SLACK, LIMIT_FACTOR, PEAK = 137, 20, 5, 0.1, 20, 1.6, 7.5
HEARTBEAT, AGE = 0.4, 1.5
TIME_CONSTANT = {"equal": 2, "own": 10, "gossip": 2}


def usual_load(seed):
    rng = random.Random(seed)
    for rank in range(1, 86):
        rate = 250 / rank ** 1.2
        callers = [(rng.randrange(ENTRIES), 0.2 + rng.random()) for _ in range(1 + int(rate / 8))]
        total = sum(share for _, share in callers)
        yield f"w{rank}", rate, [(entry, share / total) for entry, share in callers]


class Replay:
    def __init__(self, method, seed, peak=None, move_at=None):
        self.method, self.rng, self.load = method, random.Random(seed * 7 + 1), list(usual_load(seed))
        self.peak, self.move_at = peak, move_at
        self.limits = {name: LIMIT_FACTOR * rate for name, rate, _ in self.load}
        self.demands, self.told = {}, collections.defaultdict(list)
        self.entries, self.buckets = collections.defaultdict(set), {}

    def arrivals(self):
        events = []
        for name, rate, callers in self.load:
            for entry, share in callers:
                moved = self.rng.randrange(ENTRIES) if self.rng.random() < 0.2 else entry
                at = 0
                while at < SECONDS:
                    factor = PEAK if name == self.peak and 8 <= at < 14 else 1
                    at += self.rng.expovariate(rate * share * factor)
                    events.append((at, name, moved if self.move_at and at >= self.move_at else entry))
        return sorted(events)

    def demand(self, name, entry, now):
        value, at = self.demands.get((name, entry), (0.0, 0.0))
        tau = TIME_CONSTANT[self.method]
        return value * math.exp(-(now - at) / tau) / tau

    def told_demand(self, name, entry, now):
        return next((demand for at, demand in reversed(self.told[name, entry]) if at <= now - AGE), 0)

    def share(self, name, entry, now):
        own = self.demand(name, entry, now)
        if self.method == "equal":
            return 1 / ENTRIES
        if self.method == "own":
            return min(1, max(1 / ENTRIES, LIMIT_FACTOR * own / self.limits[name]))
        return own / (own + sum(self.told_demand(name, other, now) for other in self.entries[name] if other != entry))

    def admit(self, name, entry, now):
        tau = TIME_CONSTANT[self.method]
        self.demands[name, entry] = (self.demand(name, entry, now) * tau + 1, now)
        self.entries[name].add(entry)
        rate = self.limits[name] * self.share(name, entry, now)
        depth = max(1, rate + SLACK / 2 / ENTRIES)
        tokens, at = self.buckets.get((name, entry), (depth, now))
        tokens = min(depth, tokens + (now - at) * rate)
        admitted = tokens >= 1
        self.buckets[name, entry] = (tokens - admitted, now)
        return admitted

    def run(self):
        results, admitted_at, next_beat = [], collections.defaultdict(list), HEARTBEAT
        for now, name, entry in self.arrivals():
            while now >= next_beat:
                for other, members in self.entries.items():
                    for member in members:
                        self.told[other, member].append((next_beat, self.demand(other, member, next_beat)))
                next_beat += HEARTBEAT
            admitted = self.admit(name, entry, now)
            results.append((now, name, admitted))
            if admitted:
                admitted_at[name].append(now)
        return results, max(self.largest_window(times) / self.permitted(name) for name, times in admitted_at.items())

    def permitted(self, name):
        return self.limits[name] * (WINDOW + 1) * (1 + EXCESS) + SLACK

    @staticmethod
    def largest_window(times):
        first = largest = 0
        for last, at in enumerate(times):
            while at - times[first] >= WINDOW:
                first += 1
            largest = max(largest, last - first + 1)
        return largest


def refused(results, since, until, excluded=None):
    chosen = [admitted for at, name, admitted in results if since <= at < until and name != excluded]
    return 1 - sum(chosen) / len(chosen)


def main():
    for method in TIME_CONSTANT:
        for what, options in (("usual", {}), ("peak of w1", {"peak": "w1"}), ("peak of w10", {"peak": "w10"}),
                              ("a fifth moves", {"move_at": 10})):
            runs = [Replay(method, seed, **options).run() for seed in (1, 2, 3)]
            since, until = (10, 15) if "move_at" in options else (5, SECONDS)
            share = sum(refused(results, since, until, options.get("peak")) for results, _ in runs) / len(runs)
            print(f"{method}, {what}: refused {share:.3f}, largest window / permitted {max(r for _, r in runs):.2f}")


if __name__ == "__main__":
    main()
