"""Settings of a dispatcher."""

from __future__ import annotations

from dataclasses import dataclass, field

from cicadatrail_core.admission.fair_queue import Ageing
from cicadatrail_core.admission.preemption import PreemptionSettings
from cicadatrail_core.placement.ejection import EjectionSettings
from cicadatrail_core.placement.estimates import EstimateSettings
from cicadatrail_core.placement.never_run import NeverRunSettings


@dataclass(frozen=True, slots=True)
class DispatcherSettings:
    """Limits and policies of a dispatcher.

    ``shared_queue_fraction`` of the queue is open to all teams; the rest is divided
    equally among them, so that no team can keep another one out. The last
    ``urgent_queue_fraction`` of each part is for urgent requests only. The newest
    ``ended_limit_count`` ended tasks are remembered for ``report_lag_s``. A task whose
    kind has not been learned is charged ``settled_headroom`` times its reported peak
    once it has been observed for ``settle_s``. Reported usage counts for shares once
    the task has been observed for ``share_delay_s``.
    """

    queue_limit_count: int = 10_000
    shared_queue_fraction: float = 0.5
    urgent_queue_fraction: float = 0.1
    retry_after_s: float = 1.0
    longest_retry_after_s: float = 60.0
    report_lag_s: float = 60.0
    ended_limit_count: int = 4096
    share_delay_s: float = 1.0
    settle_s: float = 30.0
    settled_headroom: float = 1.25
    ageing: Ageing = field(default_factory=Ageing)
    estimates: EstimateSettings = field(default_factory=EstimateSettings)
    ejection: EjectionSettings = field(default_factory=EjectionSettings)
    never_run: NeverRunSettings = field(default_factory=NeverRunSettings)
    preemption: PreemptionSettings = field(default_factory=PreemptionSettings)
