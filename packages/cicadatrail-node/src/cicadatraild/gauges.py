"""Gauges that an instance exposes."""

from __future__ import annotations

from cicadatraild.components import Components


def read_gauges(components: Components) -> dict[str, float]:
    """Return the current value of each gauge by name."""
    state = components.replica.state
    return {
        "configuration_version": state.version,
        "folded_offset": state.next_offset,
        "folded_records": components.replica.folded_count,
        "log_appends": components.appender.append_count,
        "waiting_requests": components.dispatch_queue.waiting_count,
        "running_tasks": sum(components.dispatch_queue.running_on.values()),
        "given_up_tasks": components.given_up.count,
        "forwarded_requests": components.attempt_runner.forwarded_count,
        "retried_requests": components.retry_runner.retry_count,
        "lease_renewals": components.leases.renewal_count,
        "peer_messages": sum(link.message_count for link in components.directory.links),
        "peer_sent_bytes": sum(link.sent_bytes for link in components.directory.links),
        "roster_size": len(state.roster),
    }
