"""Steps of settings.feature: reading and validating settings files."""

from __future__ import annotations

import re
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import strategies as st
from returns.result import Failure, Success

from cicadatrail.utils.patch_file import read_patch_file
from cicadatrail_core.fold.apply import fold_record
from cicadatrail_core.models.patches import Patch
from cicadatrail_core.models.records import PatchRecord
from cicadatrail_core.models.state import State
from cicadatraild.utils.settings import parse_settings, read_settings
from features.support.settings_files import (
    EXAMPLES,
    INVALID_FILES,
    default_text,
    line_of,
    read_example,
    settings_keys,
    with_key,
)

FILE_NAME = "s.toml"
OTHER_VALUES = ("true", "[]", "{}", "1979-05-27", '"\\u0000"', "nan", "-1", "[[1]]")
OPERATORS_PAGE = Path("docs/OPERATIONS.md")


@given("the settings of {deployment}")
def step_example(context: Any, deployment: str) -> None:
    context.settings_text = read_example(deployment)


@when("the settings key {place} is {value}")
def step_change(context: Any, place: str, value: str) -> None:
    context.settings_text = with_key(context.settings_text, place, value)
    context.read = parse_settings(context.settings_text.encode(), FILE_NAME)


@when("one file has every wrong settings value above")
def step_all(context: Any) -> None:
    outlines = (item for item in context.feature.scenarios if item.type != "scenario")
    outline = next(item for item in outlines if "one finding" in item.name)
    *tables, _ = (examples.table for examples in outline.examples)
    context.wrong = {row["key"]: row["value"] for table in tables for row in table}
    for place, value in context.wrong.items():
        context.settings_text = with_key(context.settings_text, place, value)
    context.read = parse_settings(context.settings_text.encode(), FILE_NAME)


@then("the settings have a finding for each")
def step_for_each(context: Any) -> None:
    found = {finding.place.split(": ")[1] for finding in context.read.failure()}
    wanted = set(context.wrong) - {"walkers.more"} | {"walkers"}
    assert found == wanted, found ^ wanted


@then("the settings have the one finding {place} with '{words}'")
def step_one_finding(context: Any, place: str, words: str) -> None:
    assert isinstance(context.read, Failure), context.read
    (finding,) = context.read.failure()
    line = line_of(context.settings_text, place)
    shown = place.partition(".")[0] if place.startswith("walkers.") else place
    if shown != place:
        line = line_of(context.settings_text, "walkers.")
    assert finding.place == f"{FILE_NAME}:{line}: {shown}", finding
    assert words in finding.fault, finding


@when("the settings file holds {content}")
def step_content(context: Any, content: str) -> None:
    encoded = INVALID_FILES.get(content, content.replace(";", "\n").encode())
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(folder) / FILE_NAME
    context.path.write_bytes(encoded)
    context.read = read_settings(context.path)


@when("the settings path is {kind}")
def step_path(context: Any, kind: str) -> None:
    paths = {"missing": "missing.toml", "a folder": "features", "no path": "a\0b"}
    context.path = Path(paths[kind])
    context.read = read_settings(context.path)


@then("the settings have a finding at '{place}' with '{words}'")
def step_finding(context: Any, place: str, words: str) -> None:
    findings = context.read.failure()
    wanted = f"{context.path}{'' if place == 'nowhere' else place}"
    found = [item.fault for item in findings if item.place == wanted]
    assert any(words in fault for fault in found), findings


@then("the settings are read")
def step_read(context: Any) -> None:
    assert isinstance(context.read, Success), context.read


@then("any settings file, however malformed, yields settings or findings")
def step_fuzz(context: Any) -> None:
    lines = read_example("toca-mreze").splitlines()

    @given_examples(st.binary() | st.text().map(str.encode))
    def read_anything(content: bytes) -> None:
        check_read(parse_settings(content, FILE_NAME))

    @given_examples(st.data())
    def read_changed(data: st.DataObject) -> None:
        changed = list(lines)
        index = data.draw(st.integers(0, len(lines) - 1))
        cut = data.draw(st.integers(0, len(lines[index])))
        middle = data.draw(st.text(max_size=8) | st.sampled_from('[]{}="\n'))
        changed[index] = lines[index][:cut] + middle + lines[index][cut + 1 :]
        check_read(parse_settings("\n".join(changed).encode(), FILE_NAME))

    read_anything()
    read_changed()


def check_read(read: Any) -> None:
    if isinstance(read, Failure):
        findings = read.failure()
        assert findings
        assert all(item.place and item.fault for item in findings), findings


@then("any settings key with a value of another type has its finding")
def step_other_type(context: Any) -> None:
    text = read_example("toca-mreze")
    keys = [(place, as_type) for place, as_type, _ in settings_keys()]

    @given_examples(st.sampled_from(keys), st.sampled_from(OTHER_VALUES))
    def check(key: tuple[str, Any], value: str) -> None:
        place, _ = key
        read = parse_settings(with_key(text, place, value).encode(), FILE_NAME)
        assert isinstance(read, Failure), (place, value)
        found = [finding.place for finding in read.failure()]
        assert any(item.endswith(f": {place}") for item in found), (found, value)

    check()


@then("the settings show no secret, nor does a finding about one")
def step_secrets(context: Any) -> None:
    secrets = re.findall(
        r"(?:token_sha256_hex|cluster_key_hex) = \"(.*)\"", context.settings_text
    )
    assert len(secrets) == 2
    shown = repr(parse_settings(context.settings_text.encode(), FILE_NAME))
    for place in ("admin.token_sha256_hex", "peer.cluster_key_hex"):
        for value in ("secret", ["secret"]):
            text = with_key(context.settings_text, place, repr(value).replace("'", '"'))
            shown += repr(parse_settings(text.encode(), FILE_NAME))
    assert not any(secret in shown for secret in (*secrets, "'secret'")), shown


@then("the settings table of docs/OPERATIONS.md has every key and its default")
def step_page(context: Any) -> None:
    rows = re.findall(r"(?m)^\| `(\w+\.\w+)` \| ([^|]*) \|", OPERATORS_PAGE.read_text())
    wanted = {place: default_text(item) for place, _, item in settings_keys()}
    assert len(rows) == len(wanted), len(rows)
    assert dict(rows) == wanted, set(rows) ^ set(wanted.items())


@when("the settings and the patch of {deployment} are read")
def step_deployment(context: Any, deployment: str) -> None:
    context.read = read_settings(EXAMPLES / deployment / "settings.toml")
    read = read_patch_file(EXAMPLES / deployment / "patch.toml")
    patch = Patch("example", 0, read.unwrap().operations)
    context.state = fold_record(State(), 0, PatchRecord(patch))


@then("the settings have no finding")
def step_no_finding(context: Any) -> None:
    assert isinstance(context.read, Success), context.read
    assert context.state.version == 1, context.state.verdicts


@then(
    "the settings example makes {services:d} services of {workers:d} workers with"
    " {cores:d} cores and {memory:d} GB"
)
def step_sizes(
    context: Any, services: int, workers: int, cores: int, memory: int
) -> None:
    state = context.state
    assert len(state.services) == services
    pools = {service.pool_id for service in state.services.values()}
    assert Counter(state.pool_of.values()) == dict.fromkeys(pools, workers)
    for worker in state.workers.values():
        assert worker.capacity.cpu_millicores == cores * 1000
        assert worker.capacity.memory_mib == memory * 1024


@then(
    "the settings example has {teams:d} teams, {centres:d} data centres, racks of"
    " {rack:d} and the spare pool {spare}"
)
def step_places(context: Any, teams: int, centres: int, rack: int, spare: str) -> None:
    state = context.state
    places = [worker.place for worker in state.workers.values()]
    assert len(state.teams) == teams
    assert len({place.data_centre for place in places}) == centres
    assert max(Counter(places).values()) == rack
    assert [pool.pool_id for pool in state.pools.values() if pool.spare] == [spare]
    hosts = {(worker.host, worker.port) for worker in state.workers.values()}
    assert len(hosts) == len(places)
    here = context.read.unwrap().instance
    assert any(place.data_centre == here.data_centre for place in places)


@then("the settings example weighs {names} most")
def step_weights(context: Any, names: str) -> None:
    weights = context.state.weights
    wanted = names.split(" and ")
    highest = min(getattr(weights, name) for name in wanted)
    others = {"buffer_cost", "roll_out_time", "moves", "share"} - set(wanted)
    assert all(getattr(weights, name) < highest for name in others), weights
