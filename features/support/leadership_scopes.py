"""The scopes that are searched, and the walks, of the leadership model.

python -m features.support.leadership_scopes --scope "cut off" --mutant "..."
python -m features.support.leadership_scopes --walk-s 600 --seed 7
"""

from __future__ import annotations

import argparse
import random
import sys
import time

from features.support.leadership_model import Model, Result, Scope, search, walk
from features.support.leadership_mutants import MUTANTS, REFUSALS, weakened
from features.support.leadership_world import World

SCOPES = {
    "late answers": Scope("AB", "AB", {"claim": 2, "late": 2}),
    "restart": Scope("AB", "AB", {"claim": 2, "late": 1, "restart": 1}),
    "repeat": Scope("AB", "B", {"claim": 1, "renew": 2, "late": 1}),
    "cut off": Scope("ABC", "B", {"claim": 1, "restart": 2}),
    "cut off, late": Scope("ABC", "B", {"claim": 1, "restart": 1, "late": 1}),
    "newcomer": Scope("AB", "B", {"claim": 1, "renew": 1}, "C"),
    "newcomer claims": Scope("ABC", "BD", {"claim": 1}, "D"),
    "three leaders": Scope("ABC", "ABC", {"claim": 2}),
    "three leaders, settled": Scope("AB", "AB", {"claim": 2, "renew": 1}),
    "members": Scope("ABC", "B", {"claim": 1, "renew": 1, "drop": 1}),
    "release": Scope("AB", "B", {"claim": 1, "renew": 1, "late": 1, "release": 1}),
    "history dropped": Scope("AB", "AB", {"claim": 2, "forget": 1}),
    "long: hidden claim": Scope("AB", "AB", {"claim": 2, "renew": 2, "restart": 1}),
    "long: late renewal": Scope(
        "AB", "B", {"claim": 2, "renew": 1, "late": 1, "restart": 1}
    ),
    "long: three leaders, settled": Scope("ABC", "BC", {"claim": 2, "renew": 1}),
    "long: members": Scope("ABC", "B", {"claim": 1, "renew": 1, "drop": 1, "late": 1}),
    "long: newcomer": Scope("AB", "B", {"claim": 1, "renew": 2}, "C"),
    "long: release": Scope("AB", "AB", {"claim": 2, "late": 1, "release": 1}),
    "long: release of three": Scope(
        "ABC", "B", {"claim": 1, "renew": 1, "late": 1, "release": 1}
    ),
    "long: renewals": Scope(
        "AB", "B", {"claim": 1, "renew": 2, "late": 2, "restart": 1}
    ),
}

WALK = Scope(
    "ABC",
    "ABCD",
    {
        "claim": 6,
        "renew": 12,
        "restart": 4,
        "late": 6,
        "drop": 2,
        "forget": 2,
        "release": 1,
    },
    "D",
)
WALK_STEP_COUNT = 150
WALKS_PER_MODEL = 100
"""A model remembers all that it has met."""


def search_scope(name: str, mutant: str = "") -> Result:
    """Search a scope, with a rule weakened if one is named, and print the result."""
    began_s = time.monotonic()
    with weakened(mutant), World().patched() as world:
        result = search(Model(SCOPES[name], world, mutant == REFUSALS))
    took_s = time.monotonic() - began_s
    state = "complete" if result.is_complete else "not complete"
    print(f"{name}: {result.state_count} states, {state}, {took_s:.1f} s {mutant}")
    _print_violation(result)
    return result


def walk_for(limit_s: float, seed: int, mutant: str = "") -> Result:
    """Take random walks for a time, and print how many."""
    until_s = time.monotonic() + limit_s
    count, step_count, result = 0, 0, Result(0, True)
    with weakened(mutant):
        while result.violation is None and time.monotonic() < until_s:
            if count % WALKS_PER_MODEL == 0:
                world = World()
                model = Model(WALK, world, mutant == REFUSALS)
            with world.patched():
                rng = random.Random(f"{seed}/{count}")
                result = walk(model, rng, WALK_STEP_COUNT)
            count, step_count = count + 1, step_count + result.state_count
    print(f"{count} walks from seed {seed}, {step_count} steps {mutant}")
    _print_violation(result)
    return result


def _print_violation(result: Result) -> None:
    for line in (*result.trace, result.violation):
        if line is not None:
            print(" ", line)


def main() -> int:
    """Search or walk and return the exit code: 1 if leaders act against each other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scope", choices=sorted(SCOPES), default="cut off")
    parser.add_argument("--mutant", choices=["", REFUSALS, *MUTANTS], default="")
    parser.add_argument("--walk-s", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.walk_s:
        result = walk_for(options.walk_s, options.seed, options.mutant)
    else:
        result = search_scope(options.scope, options.mutant)
    return 1 if result.violation else 0


if __name__ == "__main__":
    sys.exit(main())
