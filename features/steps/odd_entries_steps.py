"""Steps about odd entries in the platform's store."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from behave import then, when

from features.support.odd_entries import play_odd_entries


@when("real processes read odd entries at their start and while they follow the list")
def step_odd_entries(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        context.run = play_odd_entries(Path(folder))


@then("no process has ended, and jobs submitted after them are completed")
def step_go_on(context: Any) -> None:
    assert not context.run.ends, context.run.ends
    assert len(context.run.accepted) == 3, context.run.accepted
    assert not context.run.findings, context.run.findings
