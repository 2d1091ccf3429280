"""Steps about placement, driven on a dispatcher with a virtual clock."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st

from cicadatrail_core.models.fleet import Urgency
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.usage import TaskUsage, UsageReport
from cicadatrail_core.placement.capacity_index import CapacityIndex, IndexedWorker
from cicadatrail_core.placement.dispatcher import (
    Dispatcher,
    DispatcherSettings,
    Placed,
    Rejected,
    TaskEnd,
    Waiting,
)
from cicadatrail_core.placement.spread import SpreadCounts
from features.support.admission_fleet import fleet, place_of, request, worker_id

CAPACITY = Resources(8000, 8000)
STEP_S = 0.5


def amount(text: str) -> Resources:
    return Resources(*map(int, text.split("x")))


@given("a placement dispatcher over {workers:d} workers")
def step_dispatcher(context: Any, workers: int) -> None:
    context.state = fleet([workers], [1.0, 1.0], CAPACITY)
    context.dispatcher = Dispatcher(DispatcherSettings())
    slots = dict.fromkeys(context.state.teams, 10_000)
    context.dispatcher.configure(context.state, list(context.state.workers), slots, 0.0)
    context.now_s = 0.0
    context.count = 0


def submit(context: Any, **choice: Any) -> Any:
    context.count += 1
    one = request(f"job-{context.count}", **choice)
    return context.dispatcher.submit(one, context.now_s)


def report(context: Any, worker: str, measured_at_s: float, **used: Resources) -> None:
    tasks = tuple(TaskUsage(name.replace("_", "-"), one) for name, one in used.items())
    found = UsageReport(worker, measured_at_s, tasks)
    context.dispatcher.report_usage(found, context.now_s)


@when("{count:d} jobs declaring {declared} run, using {used}, reported {lag:d} s late")
def step_run_jobs(context: Any, count: int, declared: str, used: str, lag: int) -> None:
    """Run eight jobs at a time for 4 s each; reports are ``lag`` seconds old."""
    starts: dict[str, tuple[float, str]] = {}
    context.overload_after_learning = 0
    for _ in range(count // 8):
        batch = []
        for _ in range(8):
            answer = submit(context, size=amount(declared))
            if isinstance(answer, Placed):
                batch.append(answer)
                starts[answer.request.request_id] = (context.now_s, answer.worker_id)
        check_loads(context, batch, amount(used))
        for step in range(1, 9):
            context.now_s += STEP_S
            if step == 8:
                for one in batch:
                    name = one.request.request_id
                    context.dispatcher.finish(name, TaskEnd.SUCCEEDED, context.now_s)
                    context.dispatcher.next_placements(context.now_s)
            send_late_reports(context, starts, amount(used), lag)
        context.now_s += lag
        send_late_reports(context, starts, amount(used), lag)


def send_late_reports(
    context: Any, starts: dict[str, tuple[float, str]], used: Resources, lag: int
) -> None:
    then_s = context.now_s - lag
    for worker in context.state.workers:
        tasks = tuple(
            TaskUsage(name, used)
            for name, (started_s, where) in starts.items()
            if where == worker and started_s <= then_s < started_s + 4.0
        )
        found = UsageReport(worker, then_s, tasks)
        context.dispatcher.report_usage(found, context.now_s)


def check_loads(context: Any, placed: list[Placed], used: Resources) -> None:
    loads = Counter(one.worker_id for one in placed)
    is_learned = context.dispatcher.estimate(request("next")) != Resources(1000, 1000)
    most = max(loads.values(), default=0)
    if is_learned and most * used.cpu_millicores > CAPACITY.cpu_millicores:
        context.overload_after_learning += 1


@then("the placement estimate for the next one is {size}")
def step_estimate(context: Any, size: str) -> None:
    declared = Resources(4000, 4000) if size == "4000x4000" else Resources(1000, 1000)
    found = context.dispatcher.estimate(request("next", size=declared))
    assert found == amount(size), found


@then("no worker was overcommitted once the estimate was learned")
def step_no_overload(context: Any) -> None:
    assert context.overload_after_learning == 0


@when("{count:d} jobs that declare {size} are reported early with {used} and then end")
def step_early_reports(context: Any, count: int, size: str, used: str) -> None:
    for _ in range(count):
        answer = submit(context, size=amount(size))
        name = answer.request.request_id
        seen = UsageReport(
            answer.worker_id, context.now_s + 0.1, (TaskUsage(name, amount(used)),)
        )
        context.now_s += 10.0
        context.dispatcher.report_usage(seen, context.now_s)
        context.dispatcher.finish(name, TaskEnd.SUCCEEDED, context.now_s)


@when(
    "a running task is reported with {newer} and then by an older report with {older}"
)
def step_crossed(context: Any, newer: str, older: str) -> None:
    answer = submit(context)
    context.now_s = 10.0
    report(context, answer.worker_id, 9.0, job_1=amount(newer))
    report(context, answer.worker_id, 5.0, job_1=amount(older))


@then("a further placement of {size} {verdict}")
def step_further(context: Any, size: str, verdict: str) -> None:
    answer = submit(context, size=amount(size))
    wanted = {"waits": Waiting, "starts": Placed}[verdict]
    assert isinstance(answer, wanted), answer
    assert bool(context.dispatcher.next_placements(context.now_s)) is False


@when("a report lists a foreign task that uses {used}")
def step_foreign_task(context: Any, used: str) -> None:
    report(context, worker_id(0, 0), 0.0, alien=amount(used))


@when("a report no longer lists the foreign task")
def step_foreign_task_ended(context: Any) -> None:
    report(context, worker_id(0, 0), 1.0)


@then("the request that waited for placement has started")
def step_has_started(context: Any) -> None:
    assert len(context.dispatcher.next_placements(context.now_s)) == 1


@when("a task ends and a late report still lists it with {used}")
def step_late_report(context: Any, used: str) -> None:
    answer = submit(context)
    context.now_s = 2.0
    context.dispatcher.finish("job-1", TaskEnd.SUCCEEDED, context.now_s)
    report(context, answer.worker_id, 1.0, job_1=amount(used))


@when("a job that declares {size} is submitted for placement")
def step_submit(context: Any, size: str) -> None:
    context.verdict = submit(context, size=amount(size))


@then("the placement verdict is {verdict}")
def step_verdict(context: Any, verdict: str) -> None:
    match context.verdict:
        case Placed():
            assert verdict == "placed"
        case Rejected(reason=reason, retry_delay_s=again_s):
            assert (reason.value, again_s) == (verdict, None)
        case other:
            raise AssertionError(other)


def run_all(context: Any, span_s: float, ends: Any, **choices: Any) -> None:
    """Submit a job per second for each choice; ``ends`` decides how each ends.

    Each job runs for 0.4 s.
    """
    until_s = context.now_s + span_s
    while context.now_s < until_s:
        placed = []
        for choice in choices.values():
            answer = submit(context, **choice)
            context.answers.append((answer, choice))
            placed += [answer] if isinstance(answer, Placed) else []
        placed += context.dispatcher.next_placements(context.now_s)
        context.now_s += 0.4
        for one in placed:
            name = one.request.request_id
            context.dispatcher.finish(name, ends(one), context.now_s)
            context.ended.append(one)
        context.most_ejected = max(
            context.most_ejected, len(context.dispatcher.ejected_workers)
        )
        context.now_s += 0.6


def begin_runs(context: Any) -> None:
    context.answers, context.ended, context.most_ejected = [], [], 0


FAILING_SIZE = Resources(1500, 1500)


@when("jobs of one kind always fail while others succeed, for {span:d} s")
def step_failing_kind(context: Any, span: int) -> None:
    begin_runs(context)

    def ends(placed: Placed) -> TaskEnd:
        if placed.request.size == FAILING_SIZE:
            return TaskEnd.FAILED
        return TaskEnd.SUCCEEDED

    run_all(
        context,
        span,
        ends,
        failing={"size": FAILING_SIZE},
        healthy={},
        other={"team": 1},
    )


@then("at most {limit:d} jobs of that kind were started for placement")
def step_few_failing(context: Any, limit: int) -> None:
    started = [one for one in context.ended if one.request.size == FAILING_SIZE]
    assert 0 < len(started) <= limit, len(started)


@then("the last one was refused with {reason}")
def step_last_refused(context: Any, reason: str) -> None:
    answer = next(
        answer
        for answer, choice in reversed(context.answers)
        if choice.get("size") == FAILING_SIZE
    )
    assert isinstance(answer, Rejected), answer
    assert answer.reason.value == reason
    assert answer.retry_delay_s is not None


@then("no worker was ejected because of these jobs")
def step_none_ejected_ever(context: Any) -> None:
    assert context.most_ejected == 0


@when("the kind succeeds at its next trial")
def step_trial(context: Any) -> None:
    context.now_s += 600.0
    answer = submit(context, size=FAILING_SIZE)
    assert isinstance(answer, Placed), answer
    name = answer.request.request_id
    context.dispatcher.finish(name, TaskEnd.SUCCEEDED, context.now_s)


@then("a job of that kind is placed again")
def step_placed_again(context: Any) -> None:
    assert isinstance(submit(context, size=FAILING_SIZE), Placed)


def run_mixed(context: Any, span: float, failing: set[str]) -> None:
    def ends(placed: Placed) -> TaskEnd:
        return TaskEnd.FAILED if placed.worker_id in failing else TaskEnd.SUCCEEDED

    run_all(
        context,
        span,
        ends,
        first={},
        second={"team": 1, "size": Resources(2000, 1000)},
        third={"size": Resources(3000, 3000), "urgency": Urgency.URGENT},
        fourth={"repeatable": False, "queue": "b"},
        fifth={"urgency": Urgency.BATCH, "queue": "b", "team": 1},
        sixth={"size": Resources(500, 4000)},
    )


@when("worker {number:d} fails everything for {span:d} s")
def step_worker_fails(context: Any, number: int, span: int) -> None:
    begin_runs(context)
    run_mixed(context, span, {worker_id(0, number)})


@then("worker {number:d} is ejected after at most {limit:d} of its failures")
def step_ejected(context: Any, number: int, limit: int) -> None:
    failing = worker_id(0, number)
    assert context.dispatcher.ejected_workers == (failing,)
    failures = [one for one in context.ended if one.worker_id == failing]
    context.probes = failures[limit:]


@then("it was probed at most {limit:d} times, by repeatable jobs that are not urgent")
def step_probes(context: Any, limit: int) -> None:
    assert len(context.probes) <= limit, len(context.probes)
    for probe in context.probes:
        assert probe.request.repeatable
        assert probe.request.urgency is not Urgency.URGENT


@when("worker {number:d} is healthy for {span:d} s")
def step_worker_healthy(context: Any, number: int, span: int) -> None:
    run_mixed(context, span, set())


@then("no worker is ejected")
def step_none_ejected(context: Any) -> None:
    assert context.dispatcher.ejected_workers == ()


@when("jobs of two kinds fail on all workers for {span:d} s")
def step_only_failing(context: Any, span: int) -> None:
    begin_runs(context)
    kinds = {"one": {"size": FAILING_SIZE}, "two": {"size": Resources(2500, 500)}}
    run_all(context, span, lambda placed: TaskEnd.FAILED, **kinds)


@then("no worker was ejected for placement")
def step_never_ejected(context: Any) -> None:
    assert context.most_ejected == 0, context.most_ejected


@when("workers {numbers} fail everything for {span:d} s")
def step_workers_fail(context: Any, numbers: str, span: int) -> None:
    begin_runs(context)
    run_mixed(context, span, {worker_id(0, int(one)) for one in numbers.split(",")})


@then("at most {limit:d} workers are ejected at any time")
def step_capped(context: Any, limit: int) -> None:
    assert 0 < context.most_ejected <= limit, context.most_ejected


@when("{count:d} jobs that declare {size} are placed")
def step_place_many(context: Any, count: int, size: str) -> None:
    context.placed = [submit(context, size=amount(size)) for _ in range(count)]


@then("no rack holds more than {rack:d} of them and no data centre more than {dc:d}")
def step_spread(context: Any, rack: int, dc: int) -> None:
    places = [context.state.workers[one.worker_id].place for one in context.placed]
    assert max(Counter(places).values()) <= rack
    assert max(Counter(place.data_centre for place in places).values()) <= dc


@when("the workers run foreign tasks of {loads} and a job of {size} is placed")
def step_foreign_loads(context: Any, loads: str, size: str) -> None:
    for number, cpu in enumerate(map(int, loads.split(","))):
        load = {"alien": Resources(cpu, cpu)}
        report(context, worker_id(0, number), 0.0, **load)
    context.loads = loads.split(",")
    context.verdict = submit(context, size=amount(size))


@then("the job is placed on the worker with a load of {load}")
def step_placed_on(context: Any, load: str) -> None:
    assert context.verdict.worker_id == worker_id(0, context.loads.index(load))


amounts = st.builds(
    Resources, st.integers(-2, 8), st.integers(-2, 8), st.integers(0, 2)
)
wanted = st.builds(Resources, st.integers(0, 8), st.integers(0, 8), st.integers(0, 2))


@when(
    "the capacity index of up to {limit:d} random workers is searched for random sizes"
)
def step_search(context: Any, limit: int) -> None:
    context.pairs = []

    @given_examples(
        st.lists(amounts, max_size=limit), st.lists(amounts, max_size=limit), wanted
    )
    def search(
        first: list[Resources], then_free: list[Resources], size: Resources
    ) -> None:
        index = CapacityIndex()
        rooms = {}
        for frees in (first, then_free):
            for number, free in enumerate(frees):
                name = worker_id(0, number)
                rooms[name] = free
                index.put(
                    IndexedWorker(name, place_of(number), Resources(8, 8, 2), free)
                )
        if rooms:
            index.drop(worker_id(0, 0))
            del rooms[worker_id(0, 0)]
        found = index.best_fit(size, "service", SpreadCounts())
        fitting = {name for name, free in rooms.items() if size.fits_in(free)}
        context.pairs.append((found, fitting))

    search()


@then("the capacity index and a linear scan agree on whether a worker fits")
def step_agree(context: Any) -> None:
    for found, fitting in context.pairs:
        assert (found in fitting) if fitting else found is None, (found, fitting)
