"""Search of all orders in which leaders are elected, confirmed and cut off.

No leader acts after a successor has counted the right of earlier leaders as over. Links
have no state: each append, answer and question may come about, be lost or come late, at
any time, and an instance may claim at any time. A read that is answered late is like an
earlier one with later times, which only a successor uses, as a longer wait. So reads
and answers to questions take no time here, but any time may pass before them. An answer
that is lost is one that comes late, after the append was carried out. All times are
relative to now and those past any use are equal, so that the time of a search has no
bound.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import cache
from typing import Any

from cicadatraild.platform.store import FencedError, PositionError, SequenceError
from cicadatraild.scheduling.leader_record import decode_leader
from features.support.leadership_topic import Answer, Append, Topic
from features.support.leadership_world import Instance, World

COSTS = ("claim", "renew", "restart", "late", "drop", "forget", "release")
"""Kinds of events that a scope bounds, in this order."""

Left = tuple[int, ...]
State = tuple[int, tuple[int, ...], tuple[int, ...], int, Left]
"""Topic, instances and late appends, each as a number; the newest epoch whose leader
has counted all earlier rights as over; and what is left of each kind of event."""


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
    def budget(self) -> Left:
        return tuple(self.left.get(kind, 0) for kind in COSTS)


class Model:
    """The states that can follow each state; equal values are kept as one number."""

    def __init__(self, scope: Scope, world: World, has_refusals: bool = False) -> None:
        self.scope = scope
        self.world = world
        self.has_refusals = has_refusals
        self.values: list[Any] = []
        self._numbers: dict[Any, int] = {}
        self.hosts = scope.hosts + scope.newcomers
        for method in (
            self._call,
            self._land,
            self._flying,
            self._alone,
            self._simplify,
        ):
            setattr(self, method.__name__, cache(method))

    def number(self, value: Any) -> int:
        """Return the number of a value."""
        found = self._numbers.get(value)
        if found is None:
            found = self._numbers[value] = len(self.values)
            self.values.append(value)
        return found

    def begin(self) -> State:
        """Return the state in which the first host leads and all have read it."""
        world, topic = self.world, Topic()
        instances = {host: Instance(host) for host in self.hosts}
        leader = self.scope.hosts[0]
        steps = [(h, n) for h in self.scope.hosts for n in ("read", "register", "read")]
        steps += [(leader, name) for name in ("read", "claim", "read", "renew", "read")]
        steps += [(host, "read") for host in self.scope.hosts]
        for host in self.scope.hosts:
            instances[host] = world.start(instances[host])
        for host, name in steps:
            found = world.step(instances[host], topic, Answer.GIVEN, name)
            instances[host], topic = found[:2]
        numbers = tuple(self.number(instances[host]) for host in self.hosts)
        return (self.number(topic), numbers, (), 1, self.scope.budget)

    def follow(self, state: State) -> Iterator[tuple[str, State]]:
        """Return the events that are possible in a state, and what follows."""
        topic, numbers, late, over, left = state
        aged = tuple(self._call("age", number) for number in numbers)
        yield "tick", (topic, aged, late, over, left)
        for number in late:
            rest = tuple(n for n in late if n != number)
            landed = self._land(number, topic)
            flying = self._flying(rest, landed)
            event = f"late append is carried out: {self._describe(number)}"
            yield event, (landed, numbers, flying, over, left)
        funds = tuple(map(bool, left))
        for place, number in enumerate(numbers):
            for event, changed, then, sent, costs in self._alone(number, topic, funds):
                after = _replaced(numbers, place, changed)
                appends = late if sent is None else tuple(sorted({*late, sent}))
                flying = self._flying(appends, then)
                yield event, (then, after, flying, over, _spend(left, costs))
        for place, number in enumerate(numbers):
            if self.values[number].held_epoch:
                for other in range(len(numbers)):
                    yield from self._with_other(state, place, other)

    def _call(self, name: str, number: int, *arguments: Any) -> Any:
        """Return what the world makes of an instance; instances as numbers."""
        match getattr(self.world, name)(self.values[number], *arguments):
            case Instance() as after:
                return self.number(after)
            case (Instance() as after, answer):
                return self.number(after), answer
            case found:
                return found

    def _land(self, number: int, topic: int) -> int:
        try:
            return self.number(self.values[topic].add(self.values[number])[0])
        except (FencedError, PositionError, SequenceError):
            return topic

    def _flying(self, late: tuple[int, ...], topic: int) -> tuple[int, ...]:
        """Return the late appends that may still be carried out."""
        log = self.values[topic]
        return tuple(n for n in late if log.can_change_by(self.values[n]))

    def _describe(self, number: int) -> str:
        append: Append = self.values[number]
        return f"{decode_leader(append.records[0])} {append.producer}"

    def _alone(
        self, number: int, topic: int, funds: tuple[bool, ...]
    ) -> list[tuple[str, int, int, int | None, tuple[str, ...]]]:
        """Return the events of one instance: what is then, a late append, the costs."""
        instance, log = self.values[number], self.values[topic]
        found: list[tuple[str, int, int, int | None, tuple[str, ...]]] = []

        def can(*costs: str) -> bool:
            return all(funds[COSTS.index(kind)] for kind in costs)

        def add(name: str, *costs: str, answer: Answer = Answer.GIVEN) -> None:
            costs = costs if answer is Answer.GIVEN else (*costs, "late")
            if not can(*costs):
                return
            after, then, sent = self.world.step(instance, log, answer, name)
            append = None if sent is None else self.number(sent)
            event = f"{instance.host}: {name}, {answer.value}"
            found.append((event, self.number(after), self.number(then), append, costs))
            if name == "claim" and sent is not None:
                claim = replace(after, awaited=decode_leader(sent.records[0]))
                event = f"{event}, awaited"
                found.append((event, self.number(claim), topic, append, costs))

        def become(name: str, after: Instance, *costs: str) -> None:
            event = f"{instance.host}: {name}"
            if can(*costs) and after != instance:
                found.append((event, self.number(after), topic, None, costs))

        if not instance.is_up:
            become("start", self.world.start(instance))
            return found
        if can("restart"):
            become("restart", self.world.start(instance), "restart")
        if instance.held_epoch:
            if self.world.may_gain(instance):
                become("apply", self.world.confirm(instance, instance.host))
            for answer in Answer:
                add("renew", "renew", answer=answer)
                add("release", "release", answer=answer)
        if instance.awaited is not None:
            if self.world.has_claim(log, instance.awaited):
                become("claim answered", self.world.answer_claim(instance, log))
            become("claim given up", replace(instance, awaited=None))
            return found
        is_claimant = instance.host in self.scope.claimants and can("claim")
        is_registered = self.world.is_registered(instance)
        if not is_claimant and self.world.is_done(instance):
            return found
        if instance.offset != len(log.records):
            add("read")
            return found
        become("records dropped", self.world.forget_offset(instance), "forget")
        if not is_registered:
            add("register")
        elif not instance.held_epoch and is_claimant:
            for answer in Answer:
                add("claim", "claim", answer=answer)
        return found

    def _with_other(
        self, state: State, place: int, other: int
    ) -> Iterator[tuple[str, State]]:
        """Return the events between a leader and one other instance."""
        topic, numbers, late, over, left = state
        leader, peer = self.values[numbers[place]], self.values[numbers[other]]
        if peer.host not in self._call("hosts_to_ask", numbers[place]):
            return
        if peer.host not in leader.answers and self._call("may_gain", numbers[place]):
            after, has_confirmed = numbers[other], False
            if peer.is_up:
                key = (numbers[other], leader.held_epoch)
                after, has_confirmed = self._call("promise", *key)
            if has_confirmed or self.has_refusals:
                lead = self._call("confirm", numbers[place], peer.host)
                changed = _replaced(numbers, place, lead)
                if has_confirmed:
                    changed = _replaced(changed, other, after)
                name = "confirmed" if has_confirmed else "refused"
                event = f"{leader.host}: {name} by {peer.host}"
                yield event, (topic, changed, late, over, left)
        if left[COSTS.index("drop")]:
            lead = self._call("drop", numbers[place], peer.host)
            changed = _replaced(numbers, place, lead)
            event = f"{leader.host}: drop {peer.host}"
            yield event, (topic, changed, late, over, _spend(left, ("drop",)))

    def _simplify(self, number: int, topic: int, may_claim: bool) -> int:
        instance, log = self.values[number], self.values[topic]
        may_claim &= bool(instance.host in self.scope.claimants)
        return self.number(self.world.simplify(instance, log, may_claim))

    def judge(self, state: State) -> tuple[State, str | None]:
        """Return a state with its newest epoch that counts, and what is wrong."""
        topic, numbers, late, over, left = state
        leaders = [v for v in map(self.values.__getitem__, numbers) if v.held_epoch]
        counting = [v.held_epoch for v in leaders if v.former_until_s <= 0]
        over = max(over, *counting, 0)
        may_claim = left[0] > 0
        numbers = tuple(self._simplify(n, topic, may_claim) for n in numbers)
        wrong = None
        for leader in leaders:
            if leader.acts_until_s <= 0:
                continue
            if leader.held_epoch < over:
                wrong = f"{leader.host} acts, though epoch {over} counts it as over"
            for other in leaders:
                if other.host != leader.host and other.held_epoch == leader.held_epoch:
                    wrong = f"{leader.host} acts in the epoch of {other.host}"
        return (topic, numbers, late, over, left), wrong


def _replaced(numbers: tuple[int, ...], place: int, number: int) -> tuple[int, ...]:
    return (*numbers[:place], number, *numbers[place + 1 :])


def _spend(left: Left, kinds: tuple[str, ...]) -> Left:
    if not kinds:
        return left
    return tuple(n - kinds.count(kind) for kind, n in zip(COSTS, left, strict=True))


@dataclass(frozen=True, slots=True)
class Result:
    """What a search found; ``trace`` leads to the violation, if there is one."""

    state_count: int
    is_complete: bool
    violation: str | None = None
    trace: tuple[str, ...] = ()


def search(model: Model) -> Result:
    """Search all states breadth first, so that a trace is as short as can be."""
    first = model.begin()
    parents: dict[State, tuple[State, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        for event, then in model.follow(state):
            if then in parents:
                continue
            after, wrong = model.judge(then)
            if after in parents:
                continue
            parents[after] = (state, event)
            if wrong is not None:
                return Result(len(parents), False, wrong, _trace(parents, after))
            waiting.append(after)
    return Result(len(parents), True)


def _trace(parents: dict[Any, Any], state: State) -> tuple[str, ...]:
    lines: list[str] = []
    step = parents[state]
    while step is not None:
        lines.append(step[1])
        step = parents[step[0]]
    return tuple(reversed(lines))


def walk(model: Model, rng: random.Random, step_count: int) -> Result:
    """Take random steps; ends early where nothing can follow."""
    state = model.begin()
    lines: list[str] = []
    for count in range(step_count):
        by_kind: dict[str, list[tuple[str, State]]] = {}
        for event, then in model.follow(state):
            after, wrong = model.judge(then)
            if wrong is not None:
                return Result(count, False, wrong, (*lines, event))
            if after != state:
                by_kind.setdefault(event.split(" by ")[0], []).append((event, after))
        if not by_kind:
            return Result(count, True)
        event, state = rng.choice(by_kind[rng.choice(sorted(by_kind))])
        lines.append(event)
    return Result(step_count, True)
