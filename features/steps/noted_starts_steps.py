"""Steps of crashing_subtasks.feature about leaders that hand over after a note."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

import msgpack
from behave import then, when

from cicadatrail_core.jobs.crash_suspicion import note_start
from cicadatrail_core.jobs.models import SubtaskName
from cicadatraild.platform.store import JOBS_TOPIC
from features.support.crashing_subtask import (
    DEADLY,
    LONG_S,
    deadly_subtask,
    lose_worker,
    wait_for_start,
)
from features.support.job_world import definition
from features.support.platform_actions import (
    JOB,
    other_instance,
    run_on_cluster,
    start_instances,
    submit,
)
from features.support.platform_cluster import PlatformCluster, job


@when("{count:d} leaders hand over in turn after the start of a suspect was noted")
def step_hand_over_noted(context: Any, count: int) -> None:
    world = context.world
    world.durations_s[DEADLY] = LONG_S
    world.submit(DEADLY, definition(1, 2))
    lost = wait_for_start(world)
    world.advance(0.2)
    lose_worker(world, lost)
    for _ in range(count):
        while deadly_subtask(world).start_noted_s is None:
            world.advance_step()
        assert not deadly_subtask(world).live_runs, "it has been started"
        world.store()
        world.withdraw_and_fail_over(world.epoch + 1)


@when("the leader of two instances hands over with a suspect whose start is noted")
def step_release_noted(context: Any) -> None:
    async def scenario(cluster: PlatformCluster) -> None:
        name = await start_instances(cluster, 2)
        leader = cluster.instances[name]._leader
        assert leader is not None
        with patch.object(leader, "may_start", lambda: False):
            assert await submit(cluster, name, JOB, job(count=1)) == 200
            subtask = leader.scheduler.jobs[JOB].subtask(SubtaskName(JOB, 0, 0, 0))
            assert subtask is not None
            subtask.crashed_runs[1] = "w1"
            leader.scheduler.suspects[subtask.name] = subtask
            note_start(leader.scheduler, subtask, 0.0)
            await leader.journal.flush()
            context.notes = [_stored_note(cluster)]
            successor = cluster.host(other_instance(cluster, name))
            await cluster.instances[name].handover.release(successor)
            context.notes.append(_stored_note(cluster))

    run_on_cluster(context, scenario)


def _stored_note(cluster: PlatformCluster) -> bool:
    """Return whether the job's stored record says that its suspect may be started."""
    record = cluster.store.topic(JOBS_TOPIC).newest[f"p/{JOB}"]
    ((*_, is_start_noted),) = msgpack.unpackb(record[1], strict_map_key=False)[4]
    return bool(is_start_noted)


@then("the store has no note of the start when leadership is released")
def step_no_note(context: Any) -> None:
    assert context.notes == [True, False], context.notes
