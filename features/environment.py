"""Behave hooks: derandomised hypothesis, and a clean-up stack per scenario."""

from __future__ import annotations

import os
from contextlib import ExitStack
from typing import Any

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile(
    "long",
    parent=settings.get_profile("ci"),
    derandomize=False,
    max_examples=3000,
    print_blob=True,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def before_scenario(context: Any, scenario: Any) -> None:
    context.stack = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    context.stack.close()
