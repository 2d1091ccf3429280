"""The two current deployments, with their fleet sizes and weights."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.fleet import Weights
from cicadatrail_core.models.resources import Resources
from features.support.waves_simulation import FleetShape


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and weights of a deployment; its budgets and times are assumed."""

    name: str
    shape: FleetShape
    weights: Weights
    team_weights: tuple[float, ...] = (4.0, 4.0, 1.0, 1.0, 1.0, 1.0)
    drain_s: float = 60.0
    maintenance_s: float = 120.0


DEPLOYMENTS = {
    "the balloon association": Deployment(
        name="balloon association",
        shape=FleetShape(limit_count=1, capacity=Resources(32_000, 65_536)),
        weights=Weights(buffer_cost=1.0, roll_out_time=1.0, moves=1.0, share=4.0),
    ),
    "Toča Mreže": Deployment(
        name="Toča Mreže",
        shape=FleetShape(limit_count=1, capacity=Resources(64_000, 262_144)),
        weights=Weights(buffer_cost=1.0, roll_out_time=4.0, moves=4.0, share=1.0),
    ),
}
