"""Gathers the names that leave the process, from the project's own classes.

``python -m features.support.outer_names`` prints them as they are now; the
committed ones stand in ``outer_names.json``, which no test writes.
"""

from __future__ import annotations

import asyncio
import json
import sys
import zlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict, astuple, dataclass, replace
from enum import Enum
from pathlib import Path
from typing import Any, get_args
from unittest.mock import MagicMock

import msgpack
from cleo.io.inputs.definition import Definition

from cicadatrail.main import COMMANDS, OperatorApplication
from cicadatrail.utils.exit_codes import ExitCode
from cicadatrail.utils.patch_file import PatchFile
from cicadatrail_core.fold.snapshots import dump_state, load_state
from cicadatrail_core.jobs import models, records
from cicadatrail_core.jobs.ended_lives import MOVED
from cicadatrail_core.jobs.job_report import JobReport
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.scheduler_settings import SchedulerSettings
from cicadatrail_core.jobs.state import JobState, RunPhase, StepState, SubtaskPhase
from cicadatrail_core.models.patches import Patch
from cicadatrail_core.models.platform import ListedInstance, TaskControl
from cicadatrail_core.models.requests import Outcome
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.state import HistoryEntry, State
from cicadatrail_core.models.status import ConfigurationView, InstanceStatus
from cicadatrail_core.models.usage import UsageReport
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Findings
from cicadatraild.interfaces.maintenance_client import JobStatus
from cicadatraild.interfaces.worker_client import WorkerReport
from cicadatraild.platform import settings
from cicadatraild.platform.callers import CallKind
from cicadatraild.scheduling import leader_record, messages
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.leader_records import LeaderRecords
from cicadatraild.scheduling.machine_inventory import MachineInventory
from cicadatraild.scheduling.maintenance import WaveProgress, WaveRunner
from cicadatraild.serving.outcomes import Reason
from cicadatraild.serving.request_ids import RecordedReply
from features.support.outer_metrics import list_fleet_metrics, list_platform_metrics
from features.support.sampled_values import Sampler, sample
from features.support.settings_files import default_text, settings_keys

COMMITTED = Path(__file__).with_suffix(".json")

DOCUMENTS: dict[str, Any] = {
    "status": InstanceStatus,
    "configuration": ConfigurationView,
    "history": tuple[HistoryEntry, ...],
    "patch": Patch,
    "patch file": PatchFile,
    "findings": Findings,
    "listed instance": ListedInstance,
    "maintenance job": JobStatus,
    "usage report": UsageReport,
    "worker report": WorkerReport,
    "job report read": JobReport,
}
"""Types of the JSON documents that the codec writes or reads."""

ENUMS: dict[str, type[Enum]] = {
    "job phase": models.JobPhase,
    "run phase": RunPhase,
    "run end": models.EndKind,
    "machine state": models.MachineState,
    "kind of call": CallKind,
    "task control": TaskControl,
    "outcome": Outcome,
    "reason": Reason,
    "exit code": ExitCode,
}
"""Enums whose values are written without the codec."""

PLATFORM_FILE: dict[str, Any] = {
    "node": "node-1",
    "ip": "10.0.0.1",
    "zone": "zone-1",
    "internal-ports": [9001, 9002],
    "listen": {"front": "10.0.0.1:9003", "readiness": "10.0.0.1:9004"},
    "seeds": ["10.0.0.2:9001"],
    "platform": {"address": "10.0.0.3:9005"},
    "cloud": {"address": "10.0.0.4:9006", "duties-per-s": 9},
    "advice": "10.0.0.5:9007",
    "bounds": {
        "hold-max-ms": 4000,
        "lease-ms": 5000,
        "grace-s": 6,
        "status_s": 7,
        "stop-timeout-ms": 300,
    },
    "limits": {"cpu-share": 0.5, "cores": 8},
}


@dataclass(frozen=True, slots=True)
class Coded:
    """Hold a value, its bytes, and what reads them; it returns ``value``."""

    value: Any
    payload: bytes
    decode: Callable[[bytes], Any]


def show(value: Any) -> Any:
    """Return a value as JSON holds it; bytes as hexadecimal digits."""
    match value:
        case Coded(payload=payload):
            holds = msgpack.unpackb(payload, strict_map_key=False)
            return {"bytes": payload.hex(), "holds": show(holds)}
        case bytes():
            return value.hex()
        case Mapping():
            return {str(key): show(entry) for key, entry in value.items()}
        case list() | tuple():
            return [show(entry) for entry in value]
        case Enum():
            return value.value
    return value


def differences(committed: Any, gathered: Any, place: str = "") -> list[str]:
    """Return a line for each entry that is missing, new or other."""
    both_lists = isinstance(committed, list) and isinstance(gathered, list)
    # A list of plain values, as an enum's, is told as a whole.
    if both_lists and any(isinstance(entry, dict | list) for entry in committed):
        committed, gathered = dict(enumerate(committed)), dict(enumerate(gathered))
    if not isinstance(committed, dict) or not isinstance(gathered, dict):
        if committed == gathered:
            return []
        return [f"{place}: expected {committed!r}, is {gathered!r}"]
    found = []
    for name in sorted(committed.keys() | gathered.keys()):
        where = f"{place} / {name}" if place else name
        if name not in gathered:
            found.append(f"{where}: is missing, expected {committed[name]!r}")
        elif name not in committed:
            found.append(f"{where}: is new, holds {gathered[name]!r}")
        else:
            found += differences(committed[name], gathered[name], where)
    return found


# What is coded and read again


def code_by_codec(value: Any, union: Any = None) -> Coded:
    as_type = union or type(value)
    payload = codec.to_bytes(value, as_type)
    return Coded(value, payload, lambda raw: codec.from_bytes(raw, as_type).unwrap())


def union_members() -> Iterator[tuple[str, Any, Any]]:
    """Yield the name that tells each member, its union, and the member."""
    for number, union in enumerate(codec._UNIONS, 1):
        for member in get_args(union):
            coded = codec.to_map(sample(member), union)
            yield f"union {number}: {coded['type']}", union, member


def code_unions() -> dict[str, Coded]:
    return {
        name: code_by_codec(sample(member), union)
        for name, union, member in union_members()
    }


def code_messages() -> dict[str, Coded]:
    classes = get_args(messages.Request) + get_args(messages.Reply)
    refused = messages.Refused("text-1", retry_after_s=1.5)
    samples = [
        messages.Refused(refused.reason) if cls is messages.Refused else sample(cls)
        for cls in classes
    ]
    # Two fields of one type: their order shows only if their values differ.
    samples.append(messages.CandidateIs(is_able=True, is_strong=False, age_s=1.5))
    samples.append(refused)
    coded = {}
    for number, message in enumerate(samples):
        content = messages.encode_message(message)
        coded[f"{number:02} {content[0]}"] = Coded(
            message,
            msgpack.packb(content),
            lambda raw: messages.decode_message(msgpack.unpackb(raw)),
        )
    return coded


def code_holder_record() -> dict[str, Coded]:
    record = sample(leader_record.LeaderRecord)
    stored = leader_record.encode_leader(record)

    def decode(raw: bytes) -> Any:
        return leader_record.decode_leader(type(stored)(stored.key, raw))

    return {stored.key: Coded(record, stored.value or b"", decode)}


def _plain_job() -> models.JobDefinition:
    need = Resources(cpu_millicores=1, memory_mib=2, accelerator_count=3)
    return models.JobDefinition(
        queue="queue",
        team="team",
        spec="spec",
        steps=(models.Step(count=9, need=need),),
    )


def _begin_job(job_id: str) -> JobState:
    """Return a job of which something was done and something has failed."""
    job = JobState(job_id, _plain_job(), 0.0)
    job.is_stored = True
    job.phase = models.JobPhase.RUNNING
    step = StepState(job, 1, 0)
    step.subtasks[8].phase = SubtaskPhase.DONE
    step.done_count = 1
    step.subtasks[0].failed_runs = {2, 1}
    step.subtasks[1].checkpoint = "checkpoint"
    step.gang_failures = 4
    job.occurrences[1] = [step]
    job.done_occurrences = {0}
    return job


def _reread_progress(raw: bytes) -> bytes:
    job = JobState("job", _plain_job(), 0.0)
    records.apply_progress(job, raw)
    return records.encode_progress(job)


def code_jobs() -> dict[str, Coded]:
    jobs = {"definition": sample(models.JobDefinition), "defaults": _plain_job()}
    coded = {
        name: Coded(job, records.encode_definition(job), records.decode_definition)
        for name, job in jobs.items()
    }
    for phase in models.JobPhase:
        job = _begin_job("job")
        job.phase = phase
        progress = records.encode_progress(job)
        coded[f"progress, {phase.value}"] = Coded(progress, progress, _reread_progress)
    return coded


def code_state() -> dict[str, Coded]:
    state = sample(State)
    # Compressed bytes may differ between releases of zlib.
    unpacked = zlib.decompress(dump_state(state))

    def decode(raw: bytes) -> Any:
        return load_state(zlib.compress(raw)).unwrap()

    return {"state": Coded(state, unpacked, decode)}


# What is only written, or only read


async def collect_records() -> dict[str, Any]:
    async def flush() -> None:
        pass

    scheduler = Scheduler(SchedulerSettings(3, 3.5, 6.0, 120.0))
    leader_records = LeaderRecords(scheduler, MagicMock())
    inventory = MachineInventory(MagicMock(), lambda: True, 5.0, flush)
    waves = WaveRunner(inventory, MagicMock(), scheduler, list, lambda: None)
    leader_records.attach(inventory, waves)
    scheduler.update_worker(sample(models.WorkerFacts), 0.0)
    (worker,) = scheduler.workers.values()
    worker.is_reconciled = True
    worker.lease_expires_s = float("inf")
    moved = replace(sample(models.WorkerFacts), worker_id="moved")
    scheduler.update_worker(moved, 0.0)
    scheduler.remove_worker("moved", loop_now_s(), MOVED)
    await inventory.announce(["machine-1"])
    started = {"machine-2", "machine-1"}
    waves._progress[7] = WaveProgress(
        sample(models.Wave), started_machines=started, is_completed=True
    )
    leader_records.mark_waves_changed()
    scheduler.accept("new", _plain_job(), 0.0)
    scheduler.jobs["begun"] = _begin_job("begun")
    scheduler.changed_jobs = dict.fromkeys(("new", "begun"))
    # What is collected holds its start until it is stored.
    run = scheduler.place(
        _begin_job("lasting").occurrences[1][0].subtasks[2], worker, 0
    )
    storing = asyncio.create_task(leader_records.lasting_starts.store(run))
    await asyncio.sleep(0)
    # The order of a worker's amounts.
    capacity = Resources(cpu_millicores=1, memory_mib=2, accelerator_count=3)
    entries: dict[str, Any] = {"amounts": astuple(capacity)}
    for record in leader_records.collect()[0]:
        entries[record.key] = Coded(None, record.value or b"", bytes)
    storing.cancel()
    return entries


def write_documents() -> dict[str, Any]:
    written = {
        name: codec.to_map(sample(as_type), as_type)
        for name, as_type in DOCUMENTS.items()
    }
    written["job report"] = asdict(sample(JobReport))
    return written


def list_enums() -> dict[str, Any]:
    listed: dict[str, Any] = {
        name: [member.value for member in enum] for name, enum in ENUMS.items()
    }
    types: dict[str, Any] = {**DOCUMENTS, "state": State}
    types |= {name: member for name, _, member in union_members()}
    types |= {place: as_type for place, as_type, _ in settings_keys()}
    for name, as_type in types.items():
        sampler = Sampler(name)
        sampler.make(as_type)
        listed |= sampler.enums
    return listed


def list_platform_settings() -> dict[str, Any]:
    read = settings.parse_platform_settings(PLATFORM_FILE, "file")
    missing = settings.parse_platform_settings({}, "file").failure()
    return {
        "variable": settings.SETTINGS_VARIABLE,
        "path": settings.DEFAULT_PATH,
        "values read": read.map(astuple).value_or(()),
        "faults found": [str(finding) for finding in read.swap().value_or(())],
        "keys missing": [str(finding) for finding in missing],
    }


def _describe_options(definition: Definition) -> dict[str, Any]:
    described: dict[str, Any] = {
        f"--{option.name}": f"short {option.shortcut}, takes {option.accepts_value()},"
        f" many {option.is_list()}, default {option.default!r}"
        for option in definition.options
    }
    for item in definition.arguments:
        described[item.name] = f"required {item.is_required()}, many {item.is_list()}"
    return described


def list_commands() -> dict[str, Any]:
    application = OperatorApplication(MagicMock())
    return {
        "of all": _describe_options(application.definition),
        **{n: _describe_options(application.find(n).definition) for n in COMMANDS},
    }


SECTIONS: dict[str, Callable[[], Mapping[str, Any]]] = {
    "union members": code_unions,
    "platform messages": code_messages,
    "holder record": code_holder_record,
    "job records": code_jobs,
    "state snapshot": code_state,
    "recorded reply": lambda: {"reply": code_by_codec(sample(RecordedReply))},
    "store records": lambda: asyncio.run(collect_records()),
    "JSON documents": write_documents,
    "enum values": list_enums,
    "platform metrics": list_platform_metrics,
    "fleet metrics": list_fleet_metrics,
    "settings keys": lambda: {p: default_text(f) for p, _, f in settings_keys()},
    "platform settings": list_platform_settings,
    "operators commands": list_commands,
}


def committed_data() -> Any:
    return json.loads(COMMITTED.read_text())


def main() -> int:
    data = {name: show(gather()) for name, gather in SECTIONS.items()}
    print(json.dumps(data, indent=1, sort_keys=True))
    return 0


if __name__ == "__main__":
    sys.exit(main())
