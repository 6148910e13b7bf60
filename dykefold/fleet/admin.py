"""The membership's operations of the admin API."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ..control.admin_requests import Action, AdminRequest, AdminResponse
from . import peer_observations
from .agent import FleetAgent, describe
from .member_state import incarnation_of, state_of, zone_of
from .rate_limits import NS_PER_S

OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503  # HTTP status codes


class MembershipAdmin:
    """Handler of the membership's admin requests.

    Args:
        agent: Membership agent of the process.
        plan: Returns the traffic plan for operators; None without failover.
    """

    def __init__(self, agent: FleetAgent, plan: Callable[[], dict[str, Any]] | None = None) -> None:
        self.agent, self.plan = agent, plan

    def carry_out(self, call: AdminRequest) -> AdminResponse:
        """Return the membership or the traffic plan, as JSON."""
        if self.agent.closed:
            return AdminResponse(UNAVAILABLE, "a newer process of this member keeps the view")
        if call.action is Action.PLAN:
            return self._traffic_plan()
        report = summary(self.agent) if call.action is Action.BRIEF else full_report(self.agent)
        return AdminResponse(OK, json.dumps(report))

    def _traffic_plan(self) -> AdminResponse:
        if self.plan is None:
            text = "no failover: [failover] of the operator's file does not ask for it"
            return AdminResponse(NOT_FOUND, text)
        return AdminResponse(OK, json.dumps(self.plan()))


def summary(agent: FleetAgent) -> dict[str, Any]:
    """Return the live members as a hexadecimal bit mask, and the digest of all states."""
    membership = agent.membership
    live = membership.live_members(agent.system.monotonic_ns())
    return {
        "member": membership.own_number,
        "live": f"{sum(1 << number for number in live):x}",
        "words": _digest(agent),
        "counts": dict(membership.counts),
    }


def full_report(agent: FleetAgent) -> dict[str, Any]:
    """Return the state of all members as this member knows them, and its latest changes."""
    membership, now_ns = agent.membership, agent.system.monotonic_ns()
    live = set(membership.live_members(now_ns))
    return {
        "member": membership.own_number,
        "live": len(live),
        "steady": membership.is_settled(now_ns),
        "alone": membership.isolated,
        "doubt": membership.health.score,
        "words": _digest(agent),
        "counts": dict(membership.counts),
        "list": _list_versions(agent, now_ns),
        "members": [
            _member_report(agent, number, number in live, now_ns) for number in range(len(membership.table))
        ],
        "changes": [
            {"s_ago": round((now_ns - change.at_ns) / NS_PER_S, 3), "what": describe(change)}
            for change in agent.latest_changes
        ],
    }


def _digest(agent: FleetAgent) -> str:
    table = agent.membership.table
    return f"{table.digest(0, len(table)):016x}"


def _list_versions(agent: FleetAgent, now_ns: int) -> dict[str, int | None]:
    """Return the version of this sidecar's endpoint list, and the newest that any member reports."""
    pool = agent.link.pool if agent.link is not None else None
    if pool is None or pool.discovery is None:
        return {"own": None, "newest": None}
    newest = peer_observations.newest_list_version(agent.membership, now_ns)
    return {"own": pool.version, "newest": newest}


def _member_report(agent: FleetAgent, number: int, is_live: bool, now_ns: int) -> dict[str, Any]:
    membership = agent.membership
    encoded = membership.table.states[number]
    host, port = membership.addresses[number]
    received_ns = membership.received_ns.get(number)
    return {
        "member": number,
        "address": f"{host}:{port}",
        "zone": zone_of(encoded),
        "state": state_of(encoded).name.lower(),
        "live": is_live,
        "incarnation": incarnation_of(encoded),
        "heard_s": None if received_ns is None else round((now_ns - received_ns) / NS_PER_S, 3),
    }
