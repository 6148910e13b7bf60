"""Carries a plan out on a node: makes pools, keeps those that stay, lets those retire that leave.

A plan is taken whole or not at all. Requests keep the pool that they were read for, so that a pool which
left the table still gives each of its requests the one final answer, with the repeats that its module allows.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from uuid import uuid4

from ..admission.addresses import Caps
from ..admission.budget import Budget
from ..balancer.events import Endpoint, State
from ..net.discovery.codec import EndpointRecord, EndpointUpdate, NameTable
from ..net.service.pool import Pool
from ..net.sidecar import SidecarServer
from ..settings import Transport
from .plan import Plan, PoolPlan
from .requests import Routed, Target
from .shares import Shares
from .table import Table

log = logging.getLogger("dykefold.routing")


class PoolBudget:
    """What one pool may set aside, of the process's descriptors."""

    def __init__(self, budget: Budget, shares: Shares) -> None:
        self.budget = budget
        self.shares = shares
        self.upstreams = budget.upstreams

    def reserve(self) -> bool:
        if not self.shares.reserve(self):
            return False
        if self.budget.reserve():
            return True
        self.shares.give_back(self)
        return False

    def release(self) -> None:
        self.shares.give_back(self)
        self.budget.release()


class Service:
    """A pool under its name, with what it was made by."""

    def __init__(self, plan: PoolPlan, pool: Pool, budget: PoolBudget) -> None:
        self.plan = plan
        self.pool = pool
        self.budget = budget
        self.version = 1  # of a list that the file gives


class Services:
    """The pools of a node by name, and the table that leads to them."""

    def __init__(self, engine: SidecarServer, seed: Callable[[], int]) -> None:
        """Take a node that has no pool yet.

        Args:
            seed: a new seed for each pool's module.
        """
        self.engine = engine
        self.seed = seed
        self.shares = Shares(engine.budget.upstreams.limit)
        self.by_name: dict[str, Service] = {}
        self.table = Table(0, (), ())
        engine.half_close = True

    def apply(self, plan: Plan, sockets: int, caps: Caps) -> None:
        """Turn to another plan, and to other limits with it.

        Args:
            sockets: descriptors that the process may hold from now on.

        Raises:
            TableError, ValueError: it can't be carried out; nothing has changed then.
        """
        table = plan.table(self.table.number + 1)
        whole = Budget(sockets).upstreams.limit
        Shares(whole).resize(whole, {name: pool.part for name, pool in plan.pools.items()})
        self.engine.change_limits(sockets, caps)
        kept, retired = {}, []
        for name, service in self.by_name.items():
            new = plan.pools.get(name)
            if new is not None and service.plan.same_service(new):
                kept[name] = service
            else:
                retired.append(service)
        self.by_name = {
            name: self._keep(kept[name], pool) if name in kept else self._make(pool)
            for name, pool in plan.pools.items()
        }
        self.shares.resize(
            whole,
            {service.budget: service.plan.part for service in self.by_name.values()},
        )
        targets = {
            rule.name: Target(rule.pool, self.by_name[rule.pool].pool, plan.mappings[rule.name], _make_id)
            for rule in plan.rules
        }
        self.table = table
        self.engine.parser = Routed(table, targets)
        for service in retired:
            log.info("pool %s retires with %d requests held", service.plan.name, len(service.pool.pending))
            service.pool.retire(self.engine.forget)
        log.info("table %d: %d routes to %d pools", table.number, len(plan.rules), len(self.by_name))

    def _make(self, plan: PoolPlan) -> Service:
        names = NameTable(plan.settings.zones, [])
        budget = PoolBudget(self.engine.budget, self.shares)
        pool = Pool(
            self.engine,
            plan.settings,
            Transport([], plan.idle_ns, plan.part.most),
            self.seed(),
            plan.discovery,
            names,
            _listed(plan, names, 1),
            budget,
            self.engine.close_unneeded_upstream,
            plan.name,
        )
        self.engine.pools[pool] = None
        return Service(plan, pool, budget)

    def _keep(self, service: Service, plan: PoolPlan) -> Service:
        """Let a pool go on with what it knows, under another list, address or limit."""
        before, service.plan = service.plan, plan
        service.pool.max_open = plan.part.most
        if plan.discovery is not None and service.pool.discovery is not None:
            service.pool.discovery.change_address(plan.discovery)
        elif plan.servers != before.servers:
            service.version += 1
            service.pool.on_update(_listed(plan, service.pool.names, service.version))
        return service


def _listed(plan: PoolPlan, names: NameTable, version: int) -> EndpointUpdate:
    """The list that a file gives: a server is known by its address, and is in the one zone there is."""
    entries = []
    for address in plan.servers:
        name = f"{address[0]}:{address[1]}"
        endpoint = Endpoint(names.server(name), 0, 0, 0, State.READY)
        entries.append(EndpointRecord(name, endpoint, address, 0))
    return EndpointUpdate(version, True, entries)


def _make_id() -> str:
    return uuid4().hex
