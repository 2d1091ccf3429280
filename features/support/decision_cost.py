"""Benchmark of the dispatcher, its scheduling policy and the retry budget.

``python -m features.support.decision_cost [--seed N]`` prints, in one run:
time and memory of a dispatcher at two fleet sizes, start delays under a load
peak, shares reached and due, and the load that retries add. The policy is
compared with first-come-first-served and a static split.
"""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
from itertools import count
from random import Random
from statistics import median

from cicadatrail_core.admission.retry_budget import RetryBudget, RetrySettings
from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    DispatcherSettings,
    Placed,
    TaskEnd,
)
from features.support.admission_fleet import fleet, request
from features.support.decision_policies import (
    POLICIES,
    Outcome,
    due_shares,
    peak_trace,
    share_trace,
    simulate,
)

WORKER = Resources(32_000, 65_536, 1)
SIZES = {"30 workers": (5, 6, 6), "1,800 workers": (20, 90, 83)}
"""Number of pools, of workers per pool and of teams."""

BACKLOG_COUNT = 1000
DECISION_COUNT = 4000


def make_state(pools: int, workers: int, teams: int) -> State:
    return fleet([workers] * pools, [1.0 + team % 3 for team in range(teams)], WORKER)


def make_dispatcher(state: State) -> Dispatcher:
    dispatcher = Dispatcher(DispatcherSettings(shared_queue_fraction=1.0))
    slots = dict.fromkeys(state.teams, 100_000)
    dispatcher.configure(state, list(state.workers), slots, 0.0)
    return dispatcher


class Churn:
    """Load generator that keeps a fleet full and replaces one task at a time.

    With a backlog it also keeps that many requests waiting.
    """

    def __init__(self, shape: tuple[int, int, int], seed: int, backlog: int) -> None:
        self.pools, self.workers, self.teams = shape
        self.random = Random(seed)
        self.ids = count()
        self.state = make_state(*shape)
        self.dispatcher = make_dispatcher(self.state)
        self.running: list[str] = []
        self.backlog = backlog
        target = 14 * self.pools * self.workers if not backlog else 10**9
        while len(self.running) < target and self.waiting() < backlog + (not backlog):
            self.submit()

    def waiting(self) -> int:
        return sum(self.dispatcher.waiting_counts.values())

    def submit(self) -> None:
        random = self.random
        one = request(
            f"request-{next(self.ids)}",
            team=random.randrange(self.teams),
            pool=random.randrange(self.pools),
            queue=random.choice("ab"),
            size=Resources(random.randint(500, 3000), random.randint(500, 6000)),
            urgency=random.choice(tuple(Urgency)),
        )
        answer = self.dispatcher.submit(one, 1.0)
        if isinstance(answer, Placed):
            self.running.append(one.request_id)
        self.place()

    def place(self) -> None:
        for placed in self.dispatcher.next_placements(1.0):
            self.running.append(placed.request.request_id)

    def finish(self) -> None:
        position = self.random.randrange(len(self.running))
        self.running[position], last = self.running[-1], self.running[position]
        self.running.pop()
        self.dispatcher.finish(last, TaskEnd.SUCCEEDED, 1.0)
        self.place()

    def decision_s(self) -> float:
        """Return the seconds taken by one finish and one submission with placements."""
        start_s = time.perf_counter()
        self.finish()
        self.submit()
        return time.perf_counter() - start_s


def print_decision_times(seed: int) -> None:
    for backlog in (0, BACKLOG_COUNT):
        churns = {name: Churn(shape, seed, backlog) for name, shape in SIZES.items()}
        times: dict[str, list[float]] = {name: [] for name in churns}
        gc.collect()
        gc.disable()
        # The sizes alternate, so that other load on the machine affects both.
        for _ in range(DECISION_COUNT):
            for name, churn in churns.items():
                times[name].append(churn.decision_s())
        gc.enable()
        what = f"{backlog} waiting" if backlog else "capacity free, none waiting"
        small, large = (sorted(found) for found in times.values())
        for name, found in zip(times, (small, large), strict=True):
            p99 = found[int(0.99 * len(found))]
            mean = sum(found) / len(found)
            print(
                f"decision, {what}, {name}: median {1e6 * median(found):.0f} us, "
                f"mean {1e6 * mean:.0f} us, p99 {1e6 * p99:.0f} us"
            )
        ratio = median(large) / median(small)
        mean_ratio = sum(large) / sum(small)
        print(f"  ratio of medians {ratio:.2f}, of means {mean_ratio:.2f} (target 2)")


def print_memory(seed: int) -> None:
    for name, shape in SIZES.items():
        state = make_state(*shape)
        gc.collect()
        tracemalloc.start()
        dispatcher = make_dispatcher(state)
        gc.collect()
        idle = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del dispatcher
        tracemalloc.start()
        churn = Churn(shape, seed, BACKLOG_COUNT)
        gc.collect()
        full = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(
            f"memory of a dispatcher, {name}: idle {idle / 1024:.0f} KiB; with its "
            f"fleet's state, {len(churn.running)} running and {churn.waiting()} "
            f"waiting {full / 2**20:.1f} MiB"
        )


def print_peak(seed: int) -> None:
    state = fleet([6], [1.0, 1.0, 2.0, 1.0, 1.0, 2.0], WORKER)
    trace = peak_trace(Random(seed), state)
    print(f"peak of 5 times the mean, one pool of 6, {len(trace)} requests:")
    for name, make in POLICIES.items():
        outcome = simulate(make(state), trace, until_s=400.0)
        for urgency in Urgency:
            print(f"  {name}, {urgency.value}: {_delays(outcome, urgency)}")


def _delays(outcome: Outcome, urgency: Urgency) -> str:
    delays = sorted(outcome.delays_s(urgency))
    started = sum(delay != float("inf") for delay in delays)
    late = sum(delay > 4.9 for delay in delays)
    p50, p99 = (delays[int(part * (len(delays) - 1))] for part in (0.5, 0.99))
    return (
        f"start delay p50 {p50:.2f} s, p99 {p99:.2f} s, most {delays[-1]:.2f} s; "
        f"{late} of {len(delays)} over 4.9 s; {started} started"
    )


def print_shares(seed: int) -> None:
    weights = [1.0, 1.0, 2.0, 2.0, 3.0, 3.0]
    state = fleet([6] * 5, weights, WORKER)
    trace, demand = share_trace(Random(seed), state)
    due = due_shares(demand, weights)
    print(f"full fleet, {len(trace)} requests; due {_percent(due)}")
    for name, make in POLICIES.items():
        reached = simulate(make(state), trace, until_s=120.0).shares(20.0)
        missed = sum(
            max(0.0, want - got) for want, got in zip(due, reached, strict=True)
        )
        print(f"  {name}: reached {_percent(reached)}; missed {100 * missed:.1f}")


def _percent(shares: list[float]) -> str:
    return "/".join(f"{100 * share:.1f}" for share in shares) + " %"


def print_retries(seed: int) -> None:
    random = Random(seed)
    for failing in (0.01, 0.1, 0.5, 1.0):
        budget = RetryBudget(RetrySettings())
        sent = asked = 0
        for _ in range(10_000):
            budget.count_first_attempt()
            while random.random() < failing and asked < 100_000:
                asked += 1
                if not budget.try_acquire():
                    break
                sent += 1
        print(f"retries, {failing:.0%} of sends fail: extra load {sent / 100:.2f} %")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print(f"seed {seed}")
    print_decision_times(seed)
    print_memory(seed)
    print_peak(seed)
    print_shares(seed)
    print_retries(seed)


if __name__ == "__main__":
    main()
