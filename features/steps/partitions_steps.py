"""Steps that cut the links between real processes."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from behave import then, when

from features.support.partition_run import (
    JOB,
    PartitionRun,
    play_first_start,
    play_handover,
    play_idle_worker,
    play_partition,
)


@when("the leader's data centre is cut off for 10 s, the store {seconds:g} s later")
def step_cut_off(context: Any, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_partition(Path(folder), store_cut_s=seconds)


@when(
    "links between data centres refuse for 10 s, the store is lost {seconds:g} s later"
)
def step_refuse(context: Any, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_partition(Path(folder), store_cut_s=seconds, refuses=True)


@when("an instance starts for the first time while all others are cut off for 20 s")
def step_first_start(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_first_start(Path(folder))


@when("the leader and two peers keep only an idle worker for 10 s")
def step_idle_worker(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_idle_worker(Path(folder))


@when("the leader is told to stop, and its successor loses busy workers and the store")
def step_handover(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_handover(Path(folder))


@when("the leader's data centre is sent nothing by the others for 10 s")
def step_one_way(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_partition(Path(folder), is_one_way=True)


@then("no subtask ran twice, and the job is completed")
def step_once(context: Any) -> None:
    run: PartitionRun = context.run
    assert JOB in run.accepted
    assert not run.findings, run.findings
