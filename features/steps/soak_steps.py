"""Steps that run the fault soak test with a seed."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from behave import then

from features.support.soak import FAILURES, keep_logs, run_seed


@then("a soak of seed {seed:d} over {seconds:d} seconds finds no violation")
def step_soak(context: Any, seed: int, seconds: int) -> None:
    _check_soak(seed, seconds, has_series=False)


@then("a soak of seed {seed:d} with stops in series over {seconds:d} s finds none")
def step_soak_in_series(context: Any, seed: int, seconds: int) -> None:
    _check_soak(seed, seconds, has_series=True)


@then("a soak of seed {seed:d} with partitions over {seconds:d} s finds no violation")
def step_soak_with_partitions(context: Any, seed: int, seconds: int) -> None:
    _check_soak(seed, seconds, has_series=False, has_partitions=True)


@then("a soak of seed {seed:d} with refusals over {seconds:d} s finds no violation")
def step_soak_with_refusals(context: Any, seed: int, seconds: int) -> None:
    _check_soak(seed, seconds, has_series=False, has_partitions=True, has_refusals=True)


@then("a soak of seed {seed:d} with restarts and cuts over {seconds:d} s finds none")
def step_soak_with_recuts(context: Any, seed: int, seconds: int) -> None:
    _check_soak(seed, seconds, has_series=False, has_recuts=True)


def _check_soak(
    seed: int,
    seconds: int,
    has_series: bool,
    has_partitions: bool = False,
    has_refusals: bool = False,
    has_recuts: bool = False,
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        soak = run_seed(
            seed,
            seconds,
            Path(folder),
            has_series,
            has_partitions,
            has_refusals,
            has_recuts,
        )
        if soak.findings:
            keep_logs(Path(folder), FAILURES / str(seed))
    assert soak.accepted, soak.faults
    assert not soak.findings, (soak.findings, soak.faults)
