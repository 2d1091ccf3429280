"""Balancing of machines between pools by the demand of their work.

Only idle machines are moved. Pools with too few machines get them from pools with
too many first, then from standby pools, where machines cost nothing. Machines that
no pool needs are moved to a standby pool.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import fmean

from cicadatrail_core.jobs.demand import Demand
from cicadatrail_core.jobs.models import Machine, MachineState
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import StepState
from cicadatrail_core.jobs.turn_forecast import Outlook, TurnForecast
from cicadatrail_core.jobs.turns import Arrival, arrivals_since
from cicadatrail_core.jobs.worker_state import WorkerState
from cicadatrail_core.models.resources import Resources

USABLE_FRACTION = 0.85
"""Fraction of a machine's processor that planning counts on.

The rest is lost to fragmentation between subtasks of several cores.
"""

BACKLOG_S = 1.0
"""Time within which waiting work should start; objectives leave about as much."""

SPARE_COUNT = 1
"""Machines that a pool gets beyond its need, for failures and evacuations."""

IDLE_POOL_FRACTION = 0.25
"""Fraction of an equal share of all machines that an idle pool keeps."""

QUIET_FRACTION = 0.5
"""Fraction of that which a pool keeps whose turn is over."""

PRESENT_STATES = (MachineState.UP, MachineState.MOVING)


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A proposed move of an idle machine to another pool."""

    machine: str
    pool: str
    target: str
    reason: str


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """The number of machines that a pool has and needs, and the reasons.

    ``lasting_count`` is the number of machines for long-running work. The cores
    are those of other work: running, expected soon in total, and waiting for
    free capacity. ``is_falling`` says that its demand is past a peak.
    """

    present_count: int
    needed_count: int
    lasting_count: int = 0
    running_cores: float = 0.0
    expected_cores: float = 0.0
    waiting_cores: float = 0.0
    is_falling: bool = False


@dataclass(slots=True)
class _PoolWork:
    long_running_cores: float = 0.0
    long_running_memory_mib: float = 0.0
    long_running_worker_count: int = 0
    running_cores: float = 0.0
    largest_step_cores: float = 0.0
    waiting_core_s: dict[str, float] = field(default_factory=dict)
    waiting_cores: dict[str, float] = field(default_factory=dict)


def pool_needs(
    scheduler: Scheduler,
    demand: Demand,
    machines: Mapping[str, Machine],
    now_s: float,
    turns: TurnForecast | None = None,
) -> dict[str, PoolNeed]:
    """Return the need for machines of each pool that is not a standby pool.

    ``turns`` learns from each call; without it, no turns are forecast.
    """
    work = _work_by_pool(scheduler)
    arrivals: Mapping[str, Arrival] = {}
    if turns is not None:
        arrivals = arrivals_since(scheduler, turns.recorded_s)
        turns.recorded_s = now_s
    # Machines that are being evacuated, or have no processor left, accept no work. A
    # worker that isn't listed may be an earlier one of its machine.
    leaving = {
        worker.facts.machine
        for worker in scheduler.workers.values()
        if worker.is_listed
        and (
            worker.is_cordoned
            or worker.facts.draining
            or not worker.facts.capacity.cpu_millicores
        )
    }
    capacities: dict[str, list[Resources]] = {}
    for worker in scheduler.workers.values():
        if worker.facts.capacity.cpu_millicores:
            capacities.setdefault(worker.facts.pool, []).append(worker.facts.capacity)
    pools = scheduler.configuration.pools
    names = [name for name, pool in pools.items() if not pool.standby]
    if turns is not None:
        turns.keep(names)
    idle_machine_count = math.ceil(
        IDLE_POOL_FRACTION * len(machines) / max(1, len(names))
    )
    needs = {}
    for name in names:
        present_count = sum(
            1
            for machine in machines.values()
            if machine.pool == name
            and machine.state in PRESENT_STATES
            and machine.name not in leaving
            and machine.data_centre not in scheduler.evacuated_data_centres
        )
        needs[name] = _pool_need(
            scheduler,
            work.get(name, _PoolWork()),
            name,
            capacities.get(name, []),
            present_count,
            idle_machine_count,
            demand,
            now_s,
            turns,
            arrivals.get(name, Arrival()),
        )
    return needs


def _pool_need(
    scheduler: Scheduler,
    work: _PoolWork,
    pool: str,
    capacities: list[Resources],
    present_count: int,
    idle_machine_count: int,
    demand: Demand,
    now_s: float,
    turns: TurnForecast | None,
    arrival: Arrival,
) -> PoolNeed:
    if not capacities:
        return PoolNeed(present_count, max(1, idle_machine_count))
    # Workers may differ in capacity, as it can shrink: count in average machines.
    cores = fmean(c.cpu_millicores for c in capacities) / 1000 * USABLE_FRACTION
    memory_mib = max(1.0, fmean(c.memory_mib for c in capacities) * USABLE_FRACTION)
    lasting_count = max(
        math.ceil(work.long_running_cores / cores),
        math.ceil(work.long_running_memory_mib / memory_mib),
        work.long_running_worker_count,
    )
    waiting = 0.0
    for team, core_s in work.waiting_core_s.items():
        startable = _startable_cores(scheduler, team, work.waiting_cores[team])
        waiting += min(core_s / BACKLOG_S, startable)
    demand.record(pool, work.running_cores + waiting, now_s)
    expected_cores = demand.expected_cores(pool, work.largest_step_cores)
    outlook = Outlook()
    if turns is not None:
        turns.record(pool, arrival, work.running_cores + waiting, now_s)
        outlook = turns.outlook(pool, now_s)
        if outlook.cores is not None:
            present_cores = work.running_cores + waiting
            least_cores = expected_cores if outlook.is_rising else present_cores
            expected_cores = max(least_cores, outlook.cores)
    needed = max(
        math.ceil((work.long_running_cores + expected_cores) / cores),
        lasting_count,
        math.ceil(idle_machine_count * QUIET_FRACTION)
        if outlook.is_quiet
        else idle_machine_count,
    )
    return PoolNeed(
        present_count,
        needed + SPARE_COUNT,
        lasting_count,
        round(work.running_cores, 1),
        round(expected_cores, 1),
        round(waiting, 1),
        outlook.is_falling,
    )


def _startable_cores(scheduler: Scheduler, team: str, cores: float) -> float:
    """Return the cores of a team's waiting work that its limit allows to start."""
    team_entry = scheduler.configuration.teams.get(team)
    if team_entry is None or not team_entry.limit.cpu_millicores:
        return cores
    used = scheduler.team_used.get(team)
    used_millicores = used.cpu_millicores if used is not None else 0
    return min(cores, max(0, team_entry.limit.cpu_millicores - used_millicores) / 1000)


def _work_by_pool(scheduler: Scheduler) -> dict[str, _PoolWork]:
    totals: dict[str, _PoolWork] = {}
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.definition.queue)
        if job.is_final or queue is None:
            continue
        work = totals.setdefault(queue.pool, _PoolWork())
        for steps in job.occurrences.values():
            for step in steps:
                _add_step(scheduler, work, step)
    return totals


def _add_step(scheduler: Scheduler, work: _PoolWork, step: StepState) -> None:
    spec = step.spec
    cores = spec.reserved.cpu_millicores / 1000
    if spec.lasting:
        work.long_running_cores += spec.count * cores
        work.long_running_memory_mib += spec.count * spec.need.memory_mib
        if spec.spread_limit_count:
            worker_count = math.ceil(spec.count / spec.spread_limit_count)
            work.long_running_worker_count = max(
                work.long_running_worker_count, worker_count
            )
        return
    running_count = sum(len(subtask.live_runs) for subtask in step.subtasks)
    work.running_cores += running_count * cores
    step_cores = (running_count + len(step.ready)) * cores
    work.largest_step_cores = max(work.largest_step_cores, step_cores)
    if not step.ready:
        return
    team = step.job.definition.team
    waiting = len(step.ready) * cores
    queue = step.job.definition.queue
    run_s = scheduler.durations.expected_ms(queue, spec.estimate_ms) / 1000
    work.waiting_cores[team] = work.waiting_cores.get(team, 0.0) + waiting
    work.waiting_core_s[team] = work.waiting_core_s.get(team, 0.0) + waiting * run_s


def plan_moves(
    scheduler: Scheduler,
    needs: Mapping[str, PoolNeed],
    kept_counts: Mapping[str, int],
    machines: Mapping[str, Machine],
    pinned: frozenset[str],
) -> list[PlannedMove]:
    """Return the moves of idle machines to pools that need them, or to standby.

    A pool gives all machines that it doesn't need to other pools, but only those
    in excess of ``kept_counts`` to a standby pool. ``pinned`` names machines that
    must not move, such as those of an open wave.
    """
    standby = [
        name for name, pool in scheduler.configuration.pools.items() if pool.standby
    ]
    by_listing = sorted(scheduler.workers.values(), key=lambda w: w.is_listed)
    workers = {worker.facts.machine: worker for worker in by_listing}
    free = [
        machine
        for machine in machines.values()
        if machine.name not in pinned
        and machine.state is MachineState.UP
        and machine.data_centre not in scheduler.evacuated_data_centres
    ]
    surplus: list[Machine] = []
    unneeded: set[str] = set()
    for name, need in needs.items():
        idle = [m for m in free if m.pool == name and _is_idle(workers.get(m.name))]
        excess = max(0, need.present_count - need.needed_count)
        surplus += idle[:excess]
        excess = max(0, need.present_count - kept_counts.get(name, 0))
        unneeded |= {machine.name for machine in idle[:excess]}
    on_standby = [machine for machine in free if machine.pool in standby]
    kinds = _kinds_by_pool(machines.values())
    moves: list[PlannedMove] = []
    for name, need in sorted(
        needs.items(), key=lambda entry: entry[1].present_count - entry[1].needed_count
    ):
        for _ in range(need.needed_count - need.present_count):
            machine = _pop_machine(surplus, kinds.get(name)) or _pop_machine(
                on_standby, kinds.get(name)
            )
            if machine is None:
                break
            moves.append(PlannedMove(machine.name, machine.pool, name, "needed"))
    if standby:
        moves += [
            PlannedMove(machine.name, machine.pool, standby[0], "not needed")
            for machine in surplus
            if machine.name in unneeded
        ]
    return moves


def _kinds_by_pool(machines: Iterable[Machine]) -> dict[str, set[str]]:
    kinds: dict[str, set[str]] = {}
    for machine in machines:
        kinds.setdefault(machine.pool, set()).add(machine.kind)
    return kinds


def _pop_machine(machines: list[Machine], kinds: set[str] | None) -> Machine | None:
    """Remove and return the first machine of a suitable kind, or None.

    ``kinds`` is None for a pool without machines, which accepts any kind.
    """
    for position, machine in enumerate(machines):
        if kinds is None or machine.kind in kinds:
            return machines.pop(position)
    return None


def _is_idle(worker: WorkerState | None) -> bool:
    return (
        worker is not None
        and worker.is_reconciled
        and worker.is_listed
        and not worker.is_suspect
        and not worker.is_cordoned
        and not worker.runs
        and not worker.unreported_runs
        and not worker.facts.draining
    )
