"""Fold functions for waves, moves and the conditions of workers."""

from __future__ import annotations

from cicadatrail_core.fold.maintenance_records import (
    apply_condition,
    apply_move_drained,
    apply_pause,
    apply_step,
)
from cicadatrail_core.fold.move_operations import abort_move, start_move
from cicadatrail_core.fold.wave_operations import (
    abort_wave,
    pause_wave,
    resume_wave,
    start_wave,
)

__all__ = [
    "abort_move",
    "abort_wave",
    "apply_condition",
    "apply_move_drained",
    "apply_pause",
    "apply_step",
    "pause_wave",
    "resume_wave",
    "start_move",
    "start_wave",
]
