from functools import partial
from typing import Any

from behave import then, when

from features.support.rights_directed import play_once
from features.support.rights_model import run_once, settle_once, walk
from features.support.rights_weakened import first_broken


@when("the rights model walks {count:d} times from seed {seed:d}")
def walk_unweakened(context: Any, count: int, seed: int) -> None:
    context.rights_seen, broken = walk(seed, count)
    context.rights_broken = broken[0] if broken else None


@when("the rights model walks {count:d} times from seed {seed:d} and settles")
def walk_and_settle(context: Any, count: int, seed: int) -> None:
    seeds = range(seed, seed + count)
    context.rights_broken = first_broken("none", seeds, settle_once)


@when(
    'the rights model walks with "{weakening}" for {count:d} seeds from {seed:d}',
)
def walk_weakened(context: Any, weakening: str, count: int, seed: int) -> None:
    seeds = range(seed, seed + count)
    context.rights_broken = first_broken(weakening, seeds, run_once)


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
    context.rights_broken = first_broken(weakening, range(first, last + 1), play)


@then("the rights model broke nothing")
def broke_nothing(context: Any) -> None:
    assert context.rights_broken is None, context.rights_broken


@then("the rights model shows the seed that broke")
def shows_seed(context: Any) -> None:
    assert context.rights_broken is not None, "nothing broke"
    seed, message = context.rights_broken
    print(f"seed {seed}: {message}")


@then("the rights model saw rights freed, used by peers' support and lent")
def saw_enough(context: Any) -> None:
    for name in ("rights freed", "rights used by peers' support", "tasks on loans"):
        assert context.rights_seen[name] > 0, name
