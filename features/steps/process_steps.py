"""Steps of processes.feature and process_operators.feature."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any

from behave import given, then, when

from features.support import process_run
from features.support.load import Load


@given("three entry instances as processes")
@given("three entry instances as processes under load")
def step_processes(context: Any) -> None:
    context.run = process_run.start_processes(context.stack)


@when("the processes meet {fault}")
def step_fault(context: Any, fault: str) -> None:
    asyncio.run(process_run.load_with_fault(context.run, fault))
    context.violations = asyncio.run(process_run.find_violations(context.run))


@then("every answer of the processes is correct and within the limits")
def step_correct(context: Any) -> None:
    assert len(context.run.result.ids) > 100, len(context.run.result.ids)
    assert not context.violations, context.violations[:10]


@then("the processes are found to violate a guarantee")
def step_violation_found(context: Any) -> None:
    assert context.violations == ["twice ran 2 times"], context.violations


@then("the processes have {lost} requests cut")
def step_cut(context: Any, lost: str) -> None:
    outcomes = context.run.result.outcomes
    cut = {key: n for key, n in outcomes.items() if key[1] == "connection-lost"}
    assert lost == "some" or not cut, cut


@then("within {limit_s:g} s the processes serve every request again")
def step_recovered(context: Any, limit_s: float) -> None:
    asyncio.run(process_run.wait_until_all_served(context.run, limit_s))


@then("the live processes show the same configuration version")
def step_same_version(context: Any) -> None:
    assert len(set(asyncio.run(process_run.versions(context.run)))) == 1


@when("a key is withdrawn through one of the processes")
def step_withdraw(context: Any) -> None:
    run = context.run
    assert asyncio.run(process_run.serves_all(run, 1))
    key_id = run.keys["weddings"].split("_")[1]
    done = run.cluster.run_cli("key", "withdraw", key_id)
    assert done.returncode == 0, done.stdout + done.stderr
    context.withdrawn_s = time.monotonic()


@then("within {limit_s:g} s every process refuses the key as not run")
def step_refused(context: Any, limit_s: float) -> None:
    run = context.run
    team = run.teams()[0]
    left = list(run.callers)
    while left and time.monotonic() - context.withdrawn_s < limit_s:
        load = Load([left[0]], process_run.SEED)
        if asyncio.run(load.send(team)) == "not-run":
            assert load.result.reasons["key-refused"] == 1, load.result.reasons
            left.pop(0)
    assert not left, left


def _put_team(context: Any, weight: str) -> Any:
    return context.run.cluster.run_cli(
        "team", "put", "weddings", "--share-weight", weight, "--upper-limit-tasks", "30"
    )


@when("the log loses three answers while a patch is sent to the processes")
def step_lost_answers(context: Any) -> None:
    context.before = asyncio.run(process_run.versions(context.run))[0]
    asyncio.run(process_run.set_log_faults(context.run, lost_answer_count=3))
    context.done = _put_team(context, "5.0")


@then("the patch made one new version at every process")
def step_one_version(context: Any) -> None:
    assert context.done.returncode == 0, context.done.stdout + context.done.stderr
    time.sleep(1.0)
    found = asyncio.run(process_run.versions(context.run))
    assert found == [context.before + 1] * 3, (context.before, found)


@when("a patch is sent to the processes while the log is down for 6 s")
def step_patch_while_down(context: Any) -> None:
    context.before = asyncio.run(process_run.versions(context.run))[0]
    asyncio.run(process_run.set_log_faults(context.run, down=True))
    began_s = time.monotonic()
    context.done = _put_team(context, "6.0")
    time.sleep(max(0.0, 6.0 - (time.monotonic() - began_s)))
    asyncio.run(process_run.set_log_faults(context.run))


@then(
    "its outcome is unknown, and within {limit_s:g} s after the log is back it is"
    " accepted"
)
def step_unknown_then_accepted(context: Any, limit_s: float) -> None:
    assert context.done.returncode == 3, context.done.stdout + context.done.stderr
    deadline_s = time.monotonic() + limit_s
    expected = [context.before + 1] * 3
    while time.monotonic() < deadline_s:
        if asyncio.run(process_run.versions(context.run)) == expected:
            return
        time.sleep(0.2)
    context.run.cluster.print_logs()
    raise AssertionError(asyncio.run(process_run.versions(context.run)))


@when("each of the processes is terminated and started again in turn")
def step_one_by_one(context: Any) -> None:
    cluster = context.run.cluster
    context.before = asyncio.run(process_run.versions(context.run))[0]
    for name in tuple(cluster.instances):
        assert cluster.stop(name) == 0
        cluster.restart(name)
        cluster.wait_until_served()


@when("all processes are killed and started again at once")
def step_all_at_once(context: Any) -> None:
    cluster = context.run.cluster
    context.before = asyncio.run(process_run.versions(context.run))[0]
    for name in tuple(cluster.instances):
        cluster.signal(name, signal.SIGKILL)
    for name in tuple(cluster.instances):
        cluster.restart(name)
    cluster.wait_until_served()


@then("the processes serve with the previous configuration")
def step_same_configuration(context: Any) -> None:
    run = context.run
    asyncio.run(process_run.wait_until_all_served(run, 30.0))
    assert asyncio.run(process_run.versions(run)) == [context.before] * 3


@when("one of the processes is started again while the log is down")
def step_start_while_down(context: Any) -> None:
    cluster = context.run.cluster
    asyncio.run(process_run.set_log_faults(context.run, down=True))
    cluster.signal("entry-c", signal.SIGKILL)
    cluster.restart("entry-c")
    time.sleep(3.0)


@then("it ends within {limit_s:g} s of being asked")
def step_ends(context: Any, limit_s: float) -> None:
    process = context.run.cluster.instances["entry-c"].process
    process.send_signal(signal.SIGTERM)
    assert process.wait(limit_s) == 0
