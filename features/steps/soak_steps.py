"""Steps that run the fault soak test with a seed."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from behave import then

from features.support.soak import run_seed


@then("a soak of seed {seed:d} over {seconds:d} seconds finds no violation")
def step_soak(context: Any, seed: int, seconds: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        soak = run_seed(seed, seconds, Path(folder))
    assert soak.accepted, soak.faults
    assert not soak.findings, (soak.findings, soak.faults)
