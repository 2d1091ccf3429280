"""Steps of cli.feature: the operators' command line against fake instances."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shlex
import subprocess
import sys
import tempfile
import textwrap
from hashlib import sha256
from pathlib import Path
from typing import Any
from unittest.mock import patch as patched

from behave import given, then, when
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput
from hypothesis import given as given_examples
from hypothesis import strategies as st
from returns.result import Failure, Success

from cicadatrail.main import COMMANDS, OperatorApplication
from cicadatrail.utils import waiting
from cicadatrail.utils.patch_file import parse_patch_file, read_patch_file
from cicadatrail_core.models.fleet import Key
from cicadatrail_core.models.maintenance import WaveStatus
from cicadatrail_core.models.patches import Operation, Patch
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.status import MemberStatus
from cicadatrail_core.utils import codec, keys
from features.support.cli_admin import TOKEN, FakeAdmin, FakeLog

OPERATORS_PAGE = Path("docs/OPERATIONS.md")
EXAMPLE = Path("examples/balloon-association/patch.toml")
HEAVY_MODULES = ("h11", "msgpack", "cattrs", "asyncio", "cicadatrail_core.utils.codec")
SHOW_MODULES = "; import sys; print(*sys.modules)"


@given("a cli fleet whose instances are {faults}")
def step_fleet(context: Any, faults: str) -> None:
    context.log = FakeLog()
    operations = read_patch_file(EXAMPLE).unwrap().operations
    context.log.submit(Patch("example", 0, operations))
    context.log.patches.clear()
    context.loop = asyncio.new_event_loop()
    context.stack.callback(context.loop.close)
    context.admins = [
        FakeAdmin(f"e{number}", context.log, "" if fault == "fine" else fault)
        for number, fault in enumerate(faults.split(", "), 1)
    ]
    for admin in context.admins:
        context.loop.run_until_complete(admin.start())
        context.stack.callback(stop, context.loop, admin)
    instances = [f"127.0.0.1:{admin.port}" for admin in context.admins]
    context.environment = {
        "CICADATRAIL_TOKEN": TOKEN,
        "CICADATRAIL_INSTANCES": ",".join(instances),
        "CICADATRAIL_OPERATOR": "ana",
    }
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.file = Path(folder) / "patch.toml"


def stop(loop: asyncio.AbstractEventLoop, admin: FakeAdmin) -> None:
    loop.run_until_complete(admin.stop())


@given("the cli environment variable {name} is '{value}'")
def step_variable(context: Any, name: str, value: str) -> None:
    context.environment[name] = "" if value == "nothing" else value


@given("the cli patch file says")
def step_patch_file(context: Any) -> None:
    context.file.write_text(context.text)


@given("another operator's cli patch is accepted first")
def step_race(context: Any) -> None:
    submit = FakeLog.submit

    def submit_late(log: FakeLog, patch: Patch) -> Any:
        rival = Patch("rival", log.state.version, patch.operations, "bogdan")
        submit(log, rival)
        return submit(log, patch)

    context.stack.enter_context(patched.object(FakeLog, "submit", submit_late))


@given("cli instance {number:d} shows a new version after {lag:d} reads")
def step_lag(context: Any, number: int, lag: int) -> None:
    context.admins[number - 1].lag_count = lag


@given("the cli instances know a member e9 at version {version:d}")
def step_member(context: Any, version: int) -> None:
    for admin in context.admins:
        admin.members = (MemberStatus("e9", IncarnationId("e9#1"), True, version),)


@given("the cli instances know cli instance {number:d} by its address")
def step_address(context: Any, number: int) -> None:
    known = context.admins[number - 1]
    address = f"127.0.0.1:{known.port}"
    member = MemberStatus(known.instance_id, IncarnationId("x"), True, None, address)
    for admin in context.admins:
        admin.members = (member,)
    others = [other for other in context.admins if other is not known]
    instances = ",".join(f"127.0.0.1:{other.port}" for other in others)
    context.environment["CICADATRAIL_INSTANCES"] = instances


@given("a cli wave w1 that goes through {statuses}")
def step_wave(context: Any, statuses: str) -> None:
    run(context, "wave start reboot --pool packing-slips --id w1")
    for admin in context.admins:
        admin.wave_statuses = [WaveStatus(name) for name in statuses.split(", ")]


@when("the operator runs cli '{line}'")
def step_run(context: Any, line: str) -> None:
    run(context, line.replace("FILE", str(context.file)))


@when("the operator runs cli '{line}' and {error} is raised")
def step_run_error(context: Any, line: str, error: str) -> None:
    errors = {"an interrupt": KeyboardInterrupt(), "a fault": ZeroDivisionError("x")}

    def break_off(coroutine: Any) -> Any:
        coroutine.close()
        raise errors[error]

    run(context, line, break_off)


def run(context: Any, line: str, runner: Any = None) -> None:
    application = OperatorApplication(runner or context.loop.run_until_complete)
    output, errors = BufferedOutput(), BufferedOutput()
    words = ArgvInput(["cicadatrail", *shlex.split(line)])
    environment = {**os.environ, **context.environment}
    with (
        patched.dict(os.environ, environment),
        patched.object(waiting, "POLL_S", 0.01),
        patched.object(waiting, "SUBMIT_AGAIN_S", 0.01),
        patched.object(waiting, "WAVE_POLL_S", 0.01),
    ):
        context.code = application.run(words, output, errors)
    context.output = output.fetch()
    context.errors = errors.fetch()


@then("the cli exit code is {code:d}")
def step_code(context: Any, code: int) -> None:
    assert context.code == code, (context.code, context.output, context.errors)


@then("the cli says '{words}'")
def step_says(context: Any, words: str) -> None:
    printed = context.output + context.errors
    assert words in printed, printed
    assert "Traceback" not in printed, printed


@then("the cli does not say '{words}'")
def step_says_not(context: Any, words: str) -> None:
    assert words not in context.output + context.errors, context.output


@then("the cli answer is one JSON document with {names}")
def step_json(context: Any, names: str) -> None:
    document = json.loads(context.output)
    for name in names.split(", "):
        assert name in document, document


@then("the cli log received {count:d} patches")
def step_count(context: Any, count: int) -> None:
    ids = {patch.patch_id for patch in context.log.patches}
    assert len(ids) == min(count, 1), context.log.patches
    assert len(context.log.patches) == count, context.log.patches


@then("the cli log holds the operation {text}")
def step_operation(context: Any, text: str) -> None:
    (patch,) = context.log.patches
    assert patch.operator == "ana"
    assert patch.base_version == 1
    operations = [codec.to_map(item, Operation) for item in patch.operations]
    (operation,) = operations
    for part in text.split(", "):
        name, _, value = part.partition("=")
        found = operation
        for step in name.split("."):
            found = found[int(step) if isinstance(found, tuple | list) else step]
        assert json.dumps(found) == value or found == value, (name, found)


@then("the cli contacted no instance")
def step_not_asked(context: Any) -> None:
    assert not any(admin.seen for admin in context.admins)


@then("the shown cli key matches the granted entry and was never sent")
def step_key(context: Any) -> None:
    text = json.loads(context.output)["key"]
    entry = context.log.state.keys[keys.key_id_of(text)]
    assert keys.key_matches(text, entry)
    secret = text.rpartition("_")[2].encode()
    bodies = b"".join(body for _, _, body in context.admins[0].seen)
    assert secret not in bodies
    assert secret.hex().encode() not in bodies


@when("the cli is started for '{line}'")
def step_start(context: Any, line: str) -> None:
    code = f"import sys; sys.argv = {['cicadatrail', *line.split()]!r}"
    code += "; from cicadatrail.main import main; main()" + SHOW_MODULES
    done = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        check=True,
    )
    context.started = done.stdout


@then("the cli lists every command and has imported no heavy module")
def step_light(context: Any) -> None:
    *lines, modules = context.started.splitlines()
    for name in COMMANDS:
        last = name.split()[-1]
        assert any(line.strip().startswith((name, last)) for line in lines), name
    heavy = set(modules.split()) & set(HEAVY_MODULES)
    assert not heavy, heavy


@when("a cli patch file says '{content}'")
def step_parse(context: Any, content: str) -> None:
    context.read = parse_patch_file(content.replace(";", "\n").encode(), "p.toml")


@then("the cli patch file has the finding '{place}' with '{words}'")
def step_finding(context: Any, place: str, words: str) -> None:
    assert isinstance(context.read, Failure), context.read
    findings = context.read.failure()
    assert any(
        finding.place == place and words in finding.fault for finding in findings
    ), findings


@then("any cli patch file, however malformed, yields a patch or findings")
def step_fuzz(context: Any) -> None:
    lines = EXAMPLE.read_text().splitlines()

    @given_examples(st.binary() | st.text().map(str.encode))
    def read_anything(content: bytes) -> None:
        check_read(parse_patch_file(content, "p"))

    @given_examples(st.data())
    def read_changed(data: st.DataObject) -> None:
        changed = list(lines)
        index = data.draw(st.integers(0, len(lines) - 1))
        cut = data.draw(st.integers(0, len(lines[index])))
        middle = data.draw(st.text(max_size=8) | st.sampled_from('{}[]="'))
        changed[index] = lines[index][:cut] + middle + lines[index][cut + 1 :]
        check_read(parse_patch_file("\n".join(changed).encode(), "p"))

    read_anything()
    read_changed()


def check_read(read: Any) -> None:
    match read:
        case Success(file):
            assert file.operations
        case Failure(findings):
            assert findings
            assert all(item.place and item.fault for item in findings), findings


@then("no malformed answer gives a known outcome to cli '{line}'")
def step_noise(context: Any, line: str) -> None:
    json_texts = st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(),
        lambda part: st.lists(part) | st.dictionaries(st.text(), part),
    ).map(json.dumps)
    heads = st.sampled_from([100, 200, 202, 204, 301, 400, 404, 409, 422, 500, 999])

    @given_examples(
        heads, json_texts.map(str.encode) | st.binary(), st.just(b"") | st.binary()
    )
    def check(status: int, body: bytes, before: bytes) -> None:
        head = f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n\r\n"
        context.admins[0].noise = before + head.encode() + body
        run(context, line.replace("FILE", str(context.file)))
        assert context.code in (2, 3), (context.code, context.output)
        assert "internal fault" not in context.errors, context.errors

    check()


@then("the operators' page names only cli commands that exist")
def step_page_commands(context: Any) -> None:
    page = OPERATORS_PAGE.read_text()
    named = set(re.findall(r"(?m)^ {4}cicadatrail ([a-z]+(?: [a-z]+)?)", page))
    assert len(named) > 5, named
    assert named <= set(COMMANDS), named - set(COMMANDS)


@then("the cli patch file of the operators' page is valid")
def step_page_patch(context: Any) -> None:
    found = re.search(
        r"(?m)^ {4}# patch_id.*\n(?: {4}.*\n|\n)+", OPERATORS_PAGE.read_text()
    )
    assert found
    text = textwrap.dedent(found.group()).replace("# patch_id", "patch_id")
    text = text.replace("# base_version", "base_version")
    file = parse_patch_file(text.encode(), "page").unwrap()
    assert file.patch_id
    assert file.base_version == 12
    assert len(file.operations) == 2


@then("a cli key matches its own entry and no other")
def step_keys(context: Any) -> None:
    sizes = {size: st.binary(min_size=size, max_size=size) for size in (8, 16, 32)}

    @given_examples(st.data(), st.text())
    def check(data: st.DataObject, other: str) -> None:
        issued = keys.new_key("team", lambda size: data.draw(sizes[size]))
        text, entry = issued.text, issued.entry
        assert keys.key_id_of(text) == entry.key_id
        assert keys.key_matches(text, entry)
        assert not keys.key_matches(other, entry)
        assert not keys.key_matches(text + "0", entry)
        assert text not in repr(issued)
        salted = bytes.fromhex(entry.salt_hex) + text.encode()
        assert entry.hash_hex == sha256(salted).hexdigest()
        assert not keys.key_matches(text, Key("k", "team", "zz", entry.hash_hex))
        withdrawn = Key("k", "team", entry.salt_hex, entry.hash_hex, True)
        assert not keys.key_matches(text, withdrawn)

    check()
