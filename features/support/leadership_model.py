"""Search of all orders in which leaders are elected, confirmed and cut off.

No leader acts after the time by which a successor counts its right as over. Links have
no state: each append, answer and question may come about, be lost or come late, at any
time, and an instance may claim at any time. A read answered late is like an earlier one
with later times, which only a successor uses, as a longer wait. So reads and answers to
questions take no time here, but any time may pass before them.

    python -m features.support.leadership_model --scope three
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgpack

from cicadatraild.platform.store import FencedError, PositionError, SequenceError
from cicadatraild.scheduling.leader_record import decode_leader
from cicadatraild.scheduling.membership import SETTLED_KEY
from features.support.leadership_world import Answer, Instance, Topic, World

COSTS = (
    "tick",
    "claim",
    "renew",
    "restart",
    "late",
    "drop",
    "forget",
    "release",
    "learn",
)
"""Kinds of events that a scope bounds, in this order."""

Event = tuple[Any, ...]
State = tuple[int, int, tuple[int, ...], tuple[int, ...], tuple[int, ...]]
"""Time, topic, instances and late appends, each as a number, and what is left."""


class ViolationError(Exception):
    """Raised when two leaders may act against each other."""


@dataclass(frozen=True, slots=True)
class Scope:
    """Bounds of a search: how often each kind of event may come.

    The first of ``hosts`` leads at the start, and the others follow it. The
    ``newcomers`` have not been started. Only ``claimants`` claim.
    """

    hosts: str
    claimants: str
    left: dict[str, int]
    newcomers: str = ""

    @property
    def budget(self) -> tuple[int, ...]:
        return tuple(self.left.get(kind, 0) for kind in COSTS)


class Model:
    """The states that can follow each state; equal values are kept as one number."""

    def __init__(self, scope: Scope, world: World, has_refusals: bool = False) -> None:
        self.scope = scope
        self.world = world
        self.has_refusals = has_refusals
        self.values: list[Any] = []
        self._numbers: dict[Any, int] = {}
        self._results: dict[Any, Any] = {}
        self.hosts = scope.hosts + scope.newcomers

    def number(self, value: Any) -> int:
        """Return the number of a value."""
        found = self._numbers.get(value)
        if found is None:
            found = self._numbers[value] = len(self.values)
            self.values.append(value)
        return found

    def _once(self, key: Event, make: Callable[..., Any], *arguments: Any) -> Any:
        found = self._results.get(key)
        if found is None:
            found = self._results[key] = make(*arguments)
        return found

    def begin(self) -> State:
        """Return the state in which the first host leads and all have read it."""
        world, topic = self.world, Topic()
        instances = {host: Instance(host) for host in self.hosts}

        def step(host: str, name: str) -> None:
            nonlocal topic
            found = world.step(instances[host], topic, Answer.GIVEN, name)
            instances[host], topic = found[:2]

        for host in self.scope.hosts:
            instances[host] = world.start(instances[host])
            step(host, "read")
            step(host, "register")
            step(host, "read")
        leader = self.scope.hosts[0]
        for name in ("read", "claim", "read", "renew", "read", "renew", "read"):
            step(leader, name)
        for host in self.scope.hosts:
            step(host, "read")
        numbers = tuple(self.number(instances[host]) for host in self.hosts)
        return (0, self.number(topic), numbers, (), self.scope.budget)

    def follow(self, state: State) -> Iterator[tuple[Event, State]]:
        """Return the events that are possible in a state, and what follows."""
        now, topic, numbers, late, left = state
        self.world.now_s = now
        if left[0]:
            yield ("tick",), (now + 1, topic, numbers, late, _spend(left, ("tick",)))
        for number in late:
            rest = tuple(n for n in late if n != number)
            landed = self._once(("land", number, topic), self._land, number, topic)
            yield ("land", number), (now, landed, numbers, rest, left)
        funds = tuple(map(bool, left))
        for place, number in enumerate(numbers):
            key = ("alone", number, topic, now, funds)
            for event, changed, then, sent in self._once(
                key, self._alone, number, topic, funds
            ):
                after = (*numbers[:place], changed, *numbers[place + 1 :])
                flying = late if sent is None else tuple(sorted({*late, sent}))
                yield event, (now, then, after, flying, _spend(left, event[2]))
        for place, number in enumerate(numbers):
            if self.values[number].held_epoch:
                for other in range(len(numbers)):
                    yield from self._with_other(state, place, other)
        if left[COSTS.index("learn")]:
            yield from self._learn(state)

    def _land(self, number: int, topic: int) -> int:
        try:
            return self.number(self.values[topic].add(self.values[number])[0])
        except (FencedError, PositionError, SequenceError):
            return topic

    def _alone(
        self, number: int, topic: int, funds: tuple[bool, ...]
    ) -> list[tuple[Event, int, int, int | None]]:
        """Return the events of one instance; with what is then, and a late append."""
        instance, log = self.values[number], self.values[topic]
        found: list[tuple[Event, int, int, int | None]] = []

        def add(name: str, *costs: str, answer: Answer = Answer.GIVEN) -> None:
            if answer is not Answer.GIVEN:
                costs = (*costs, "late")
            if not all(funds[COSTS.index(kind)] for kind in costs):
                return
            after, then, sent = self.world.step(instance, log, answer, name)
            event = (f"{name}, {answer.value}", instance.host, costs)
            append = None if sent is None else self.number(sent)
            found.append((event, self.number(after), self.number(then), append))

        def become(name: str, after: Instance, *costs: str) -> None:
            event = (name, instance.host, costs)
            if all(funds[COSTS.index(kind)] for kind in costs):
                found.append((event, self.number(after), topic, None))

        if not instance.is_up:
            become("start", self.world.start(instance))
            return found
        become("restart", self.world.start(instance), "restart")
        if instance.held_epoch:
            become("ask", replace(instance, asked_s=self.world.now_s, answers=()))
            if instance.asked_s is not None:
                become("apply", self.world.confirm(instance, instance.host))
            for answer in Answer:
                add("renew", "renew", answer=answer)
                add("release", "release", answer=answer)
        if instance.awaited is not None:
            if self.world.has_claim(log, instance.awaited):
                become("claim answered", self.world.answer_claim(instance, log))
            become("claim given up", replace(instance, awaited=None))
            return found
        if instance.offset != len(log.records):
            add("read")
            return found
        become("records dropped", self.world.forget_offset(instance), "forget")
        if not self.world.is_registered(instance):
            add("register")
        elif not instance.held_epoch and instance.host in self.scope.claimants:
            for answer in Answer:
                add("claim", "claim", answer=answer)
            self._add_awaited(instance, log, found)
        return found

    def _add_awaited(self, instance: Instance, log: Topic, found: list[Any]) -> None:
        """Add a claim that is carried out while the instance waits for its answer."""
        late = [item for item in found if item[0][0] == f"claim, {Answer.LATE.value}"]
        for (_, host, costs), number, topic, sent in late:
            claim = next(iter(self.values[sent].records))
            waiting = replace(self.values[number], awaited=decode_leader(claim))
            event = ("claim, awaited", host, costs)
            found.append((event, self.number(waiting), topic, sent))

    def _with_other(
        self, state: State, place: int, other: int
    ) -> Iterator[tuple[Event, State]]:
        """Return the events between a leader and one other instance."""
        now, topic, numbers, late, left = state
        leader, peer = self.values[numbers[place]], self.values[numbers[other]]
        if leader.host == peer.host:
            return
        key: Event = ("hosts", numbers[place])
        if peer.host not in self._once(key, self.world.hosts_to_ask, leader):
            return
        if leader.asked_s is not None and peer.host not in dict(leader.answers):
            key = ("promise", numbers[other], leader.held_epoch)
            after, confirmed = self._once(key, self._promise, peer, leader.held_epoch)
            if confirmed or self.has_refusals:
                key = ("confirm", numbers[place], peer.host, now)
                lead = self._once(key, self._confirm, leader, peer.host)
                then = {place: lead, other: after if confirmed else numbers[other]}
                name = "confirmed by" if confirmed else "refused by"
                changed = tuple(then.get(p, n) for p, n in enumerate(numbers))
                yield (
                    (name, leader.host, (), peer.host),
                    (now, topic, changed, late, left),
                )
        if left[COSTS.index("drop")]:
            key = ("drop", numbers[place], peer.host)
            lead = self._once(key, self._drop, leader, peer.host)
            changed = (*numbers[:place], lead, *numbers[place + 1 :])
            spent = _spend(left, ("drop",))
            yield (
                ("drop", leader.host, ("drop",), peer.host),
                (now, topic, changed, late, spent),
            )

    def _promise(self, instance: Instance, epoch: int) -> tuple[int, bool]:
        after, confirmed = self.world.promise(instance, epoch)
        return self.number(after), confirmed

    def _confirm(self, instance: Instance, host: str) -> int:
        return self.number(self.world.confirm(instance, host))

    def _drop(self, instance: Instance, host: str) -> int:
        return self.number(self.world.drop(instance, host))

    def _learn(self, state: State) -> Iterator[tuple[Event, State]]:
        """Return the events in which an instance learns a leader from another one."""
        now, topic, numbers, late, left = state
        known = {self.values[n].current for n in numbers if self.values[n].is_up}
        for place, number in enumerate(numbers):
            instance = self.values[number]
            if not instance.is_up:
                continue
            epoch = instance.current.epoch if instance.current else 0
            for leader in known:
                if leader is None or leader.released or leader.epoch <= epoch:
                    continue
                after = self.number(self.world.learn(instance, leader))
                changed = (*numbers[:place], after, *numbers[place + 1 :])
                event = ("learn", instance.host, ("learn",), leader.epoch)
                yield event, (now, topic, changed, late, _spend(left, ("learn",)))

    def check(self, state: State) -> str | None:
        """Return what is wrong with a state, or None."""
        now, topic, numbers, _, _ = state
        leaders = [v for v in map(self.values.__getitem__, numbers) if v.held_epoch]
        settled = self._once(("settled", topic), settled_epoch, self.values[topic])
        for leader in leaders:
            if now >= leader.acts_until_s:
                continue
            if leader.held_epoch < settled:
                return f"{leader.host} acts, though epoch {settled} is settled"
            for other in leaders:
                if other.host != leader.host and other.held_epoch == leader.held_epoch:
                    return f"{leader.host} acts in the epoch of {other.host}"
                is_over = now >= other.former_until_s
                if other.held_epoch > leader.held_epoch and is_over:
                    return f"{leader.host} acts, though over for {other.host}"
        return None


def settled_epoch(topic: Topic) -> int:
    """Return the newest epoch before which, as stored, no leader can act."""
    stored = [r.value for r in topic.records if r.key == SETTLED_KEY and r.value]
    return max((int(msgpack.unpackb(value)) for value in stored), default=0)


def _spend(left: tuple[int, ...], kinds: tuple[str, ...]) -> tuple[int, ...]:
    if not kinds:
        return left
    spent = [*left]
    for kind in kinds:
        spent[COSTS.index(kind)] -= 1
    return tuple(spent)


@dataclass(frozen=True, slots=True)
class Result:
    """What a search found; ``trace`` leads to the violation, if there is one."""

    state_count: int
    is_complete: bool
    violation: str | None = None
    trace: tuple[str, ...] = ()


def search(model: Model, state_limit_count: int = 10_000_000) -> Result:
    """Search all states breadth first, so that a trace is as short as can be."""
    first = model.begin()
    parents: dict[State, tuple[State, Event] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        for event, after in model.follow(state):
            if after in parents:
                continue
            parents[after] = (state, event)
            violation = model.check(after)
            if violation is not None:
                trace = _trace(model, parents, after)
                return Result(len(parents), False, violation, trace)
            if len(parents) >= state_limit_count:
                return Result(len(parents), False)
            waiting.append(after)
    return Result(len(parents), True)


def _trace(model: Model, parents: dict[Any, Any], state: State) -> tuple[str, ...]:
    lines: list[str] = []
    step = parents[state]
    while step is not None:
        before, event = step
        lines.append(f"{before[0]}: {_describe(model, event)}")
        step = parents[before]
    return tuple(reversed(lines))


def _describe(model: Model, event: Event) -> str:
    match event:
        case ("land", number):
            append = model.values[number]
            leader = decode_leader(append.records[0])
            return f"late append is carried out: {leader} {append.producer}"
        case (name, host, _, other):
            return f"{host}: {name} {other}"
        case (name, host, _):
            return f"{host}: {name}"
        case _:
            return str(event[0])


def walk(model: Model, seed: int, step_count: int) -> Result:
    """Take random steps; ends early where nothing can follow."""
    rng = random.Random(seed)
    state, lines = model.begin(), []
    for count in range(step_count):
        by_kind: dict[str, list[tuple[Event, State]]] = {}
        for event, after in model.follow(state):
            if after != state:
                by_kind.setdefault(event[0], []).append((event, after))
        if not by_kind:
            return Result(count, True)
        event, after = rng.choice(by_kind[rng.choice(sorted(by_kind))])
        lines.append(f"{state[0]}: {_describe(model, event)}")
        state = after
        violation = model.check(state)
        if violation is not None:
            return Result(count, False, violation, tuple(lines))
    return Result(step_count, True)


SCOPES = {
    "two": Scope(
        "AB", "AB", {"tick": 6, "claim": 2, "renew": 3, "late": 2, "restart": 1}
    ),
    "three": Scope(
        "ABC", "BC", {"tick": 5, "claim": 1, "renew": 1, "late": 1, "restart": 1}
    ),
}


def main() -> int:
    """Search a scope and return the exit code: 1 if leaders act against each other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scope", choices=sorted(SCOPES), default="three")
    parser.add_argument("--left", nargs="*", default=[], metavar="KIND=COUNT")
    options = parser.parse_args()
    scope = SCOPES[options.scope]
    changes = {kind: int(n) for kind, n in (item.split("=") for item in options.left)}
    scope = replace(scope, left=scope.left | changes)
    began_s = time.monotonic()
    with World().patched() as world:
        model = Model(scope, world)
        result = search(model)
    print(
        f"{options.scope} {scope.left}: {result.state_count} states, "
        f"complete: {result.is_complete}, {time.monotonic() - began_s:.1f} s"
    )
    for line in result.trace:
        print(" ", line)
    print(result.violation or "no violation")
    return 1 if result.violation else 0


if __name__ == "__main__":
    sys.exit(main())
