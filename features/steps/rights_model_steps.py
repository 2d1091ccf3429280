"""Steps that run the model of rights, also with weakened rules."""

from functools import partial
from typing import Any

from behave import then, when

from features.support.rights_directed import play_once
from features.support.rights_model import run_once, settle_once, walk
from features.support.rights_weakened import first_broken


@when("the rights model walks {count:d} times from seed {seed:d}")
def walk_unweakened(context: Any, count: int, seed: int) -> None:
    context.rights_event_counts, broken = walk(seed, count)
    context.rights_violation = broken[0] if broken else None


@when(
    "the rights model walks {count:d} times from seed {seed:d} and then all faults end"
)
def walk_and_settle(context: Any, count: int, seed: int) -> None:
    seeds = range(seed, seed + count)
    context.rights_violation = first_broken("none", seeds, settle_once)


@when(
    'the rights model walks with "{weakening}" for {count:d} seeds from {seed:d}',
)
def walk_weakened(context: Any, weakening: str, count: int, seed: int) -> None:
    seeds = range(seed, seed + count)
    context.rights_violation = first_broken(weakening, seeds, run_once)


@when('the rights model plays "{script}" for seeds {first:d} to {last:d}')
def play_unweakened(context: Any, script: str, first: int, last: int) -> None:
    play_weakened(context, script, "none", first, last)


@when(
    'the rights model weakened by "{weakening}" plays "{script}" '
    "for seeds {first:d} to {last:d}"
)
def play_weakened(
    context: Any, script: str, weakening: str, first: int, last: int
) -> None:
    play = partial(play_once, script)
    context.rights_violation = first_broken(weakening, range(first, last + 1), play)


@then("the rights model broke no invariant")
def broke_no_invariant(context: Any) -> None:
    assert context.rights_violation is None, context.rights_violation


@then("the rights model reports a seed that broke an invariant")
def shows_seed(context: Any) -> None:
    assert context.rights_violation is not None, "no seed broke an invariant"
    seed, message = context.rights_violation
    print(f"seed {seed}: {message}")


@then("the rights model freed rights, lent them and used them on peers' leases")
def covered_events(context: Any) -> None:
    for name in ("rights freed", "rights used by peers' support", "tasks on loans"):
        assert context.rights_event_counts[name] > 0, name
