"""Steps about random histories of workers and leaders that restart."""

from __future__ import annotations

import logging
from typing import Any

from behave import then

from features.support.lives_history import play_lives


@then("in the history of seed {seed:d} nothing runs twice, and all jobs complete")
def step_never_twice(context: Any, seed: int) -> None:
    logging.disable(logging.CRITICAL)
    try:
        history = play_lives(seed)
    finally:
        logging.disable(logging.NOTSET)
    assert not history.findings, (history.findings, history.actions)
