from __future__ import annotations

from typing import Any

from behave import then, when

from features.support.outer_names import SECTIONS, committed_data, differences, show


@when("the outer names of {section} are gathered")
def step_gather_outer_names(context: Any, section: str) -> None:
    context.committed = committed_data()[section]
    context.gathered = SECTIONS[section]()


@then("the outer names are those committed")
def step_outer_names_committed(context: Any) -> None:
    found = differences(context.committed, show(context.gathered))
    assert not found, "\n" + "\n".join(found)


@then("the committed bytes decode to equal values")
def step_committed_bytes_decode(context: Any) -> None:
    assert context.gathered.keys() == context.committed.keys()
    found = []
    for name, coded in context.gathered.items():
        payload = bytes.fromhex(context.committed[name]["bytes"])
        try:
            read = coded.decode(payload)
        except Exception as error:
            read = repr(error)
        if read != coded.value:
            found.append(f"{name}: expected {coded.value!r}, read {read!r}")
    assert not found, "\n" + "\n".join(found)
