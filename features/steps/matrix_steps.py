"""Steps of the matrix features."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from behave import then, when

from features.support import matrix_cells
from features.support.matrix_mutants import MUTANTS

SEED = 1
RANDOM_SEEDS = range(100, 104)


@when("the matrix runs the fault {fault} at the step {step}")
def step_cell(context: Any, fault: str, step: str) -> None:
    context.cell = f"seed {SEED}: {fault} at {step}"
    context.violations = matrix_cells.find_violations(SEED, fault, step)


@when("the matrix runs the fault {fault} and {gap_s:g} s later {second}")
def step_pair(context: Any, fault: str, gap_s: float, second: str) -> None:
    context.cell = f"seed {SEED}: {fault}, {gap_s} s later {second}"
    context.violations = matrix_cells.find_violations(
        SEED, fault, "sent", second, gap_s
    )


@when("the matrix runs faults drawn from fixed seeds")
def step_random(context: Any) -> None:
    context.cell = f"seeds {RANDOM_SEEDS}"
    context.violations = []
    for seed in RANDOM_SEEDS:
        cell = matrix_cells.random_cell(seed)
        found = matrix_cells.find_violations(seed, *cell)
        context.violations += [f"seed {seed} {cell}: {text}" for text in found]


@when(
    "the matrix runs a mutant that {weakening} under the fault {fault}"
    " at the step {step}, then {second} after {gap_s:g} s"
)
def step_mutant(
    context: Any, weakening: str, fault: str, step: str, second: str, gap_s: float
) -> None:
    context.cell = f"seed {SEED}: {fault} at {step}, {weakening}"
    later = "" if second == "nothing" else second
    with ExitStack() as stack:
        MUTANTS[weakening](stack)
        context.violations = matrix_cells.find_violations(
            SEED, fault, step, later, gap_s
        )


@then("the matrix cluster keeps every invariant and recovers in time")
def step_held(context: Any) -> None:
    assert not context.violations, f"{context.cell}: {context.violations[:6]}"


@then('the matrix finds "{text}"')
def step_found(context: Any, text: str) -> None:
    found = [line for line in context.violations if text in line]
    assert found, f"{context.cell}: {context.violations[:6]}"
