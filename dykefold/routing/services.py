"""Applies a plan to a running process: creates new pools, keeps unchanged ones and retires removed ones.

A plan is applied completely or not at all. Pending requests keep their pool, so a pool that is no longer in
the route table still gives each of them its one final answer, with the retries that its balancer allows.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from uuid import uuid4

from ..admission.addresses import AddressLimits
from ..admission.budget import DescriptorBudget
from ..balancer.events import Endpoint, State
from ..net.discovery.codec import EndpointRecord, EndpointUpdate, NameTable
from ..net.service.pool import Pool
from ..net.service.pool_config import PoolConfig
from ..net.sidecar import SidecarServer
from ..settings import Transport
from .plan import PoolPlan, ServicesPlan
from .requests import RouteRequestReader, RoutingRequestReader
from .reservations import PoolReservations
from .table import RouteTable

log = logging.getLogger("dykefold.routing")


class PoolBudget:
    """Descriptor budget of one pool, a part of the budget of the process.

    Args:
        budget: Descriptor budget of the process.
        reservations: Descriptor reservations of all pools.

    Attributes:
        upstreams: Allowance for connections to endpoints, common to all pools.
    """

    def __init__(self, budget: DescriptorBudget, reservations: PoolReservations) -> None:
        self._budget = budget
        self._reservations = reservations
        self.upstreams = budget.upstreams

    def reserve(self) -> bool:
        """Reserve a descriptor; return False if the pool or the process has none left."""
        if not self._reservations.reserve(self):
            return False
        if self._budget.reserve():
            return True
        self._reservations.release(self)
        return False

    def release(self) -> None:
        """Release a reserved descriptor."""
        self._reservations.release(self)
        self._budget.release()


@dataclass(slots=True, eq=False)
class Service:
    """A running pool and its configuration.

    Attributes:
        plan: Current configuration of the pool.
        pool: Pool that serves the requests.
        budget: Descriptor budget of the pool.
        list_version: Version of the endpoint list from the file; incremented when the list changes.
    """

    plan: PoolPlan
    pool: Pool
    budget: PoolBudget
    list_version: int = 1


class Services:
    """The pools of a process by name, and the route table that selects them.

    Args:
        sidecar: Server that accepts the requests; it must not have a pool yet.
        seed: Function that returns a seed for the random generator of a new pool's balancer.

    Attributes:
        reservations: Descriptor reservations of all pools.
        by_name: Services of the current plan by name; retired pools are not among them.
        table: Route table in use.
    """

    def __init__(self, sidecar: SidecarServer, seed: Callable[[], int]) -> None:
        self._sidecar = sidecar
        self._seed = seed
        self.reservations = PoolReservations(sidecar.budget.upstreams.limit)
        self.by_name: dict[str, Service] = {}
        self.table = RouteTable(0, (), ())
        sidecar.half_close = True

    def apply(self, plan: ServicesPlan, max_descriptors: int, address_limits: AddressLimits) -> None:
        """Apply a plan and the limits that belong to it.

        Args:
            plan: Pools and routes of the new configuration.
            max_descriptors: New maximum number of file descriptors that the process may open.
            address_limits: New limits for each client address.

        Raises:
            RouteTableError: The routes are invalid; nothing has changed then.
            GuaranteesError: The pools are guaranteed more than the process has; nothing has changed then.
        """
        table = plan.table(self.table.number + 1)
        total = DescriptorBudget(max_descriptors).upstreams.limit
        PoolReservations(total).resize(total, {name: pool.limits for name, pool in plan.pools.items()})
        self._sidecar.change_limits(max_descriptors, address_limits)
        retired = self._replace_services(plan)
        self.reservations.resize(
            total, {service.budget: service.plan.limits for service in self.by_name.values()}
        )
        self.table = table
        self._sidecar.parser = self._request_reader(plan, table)
        for service in retired:
            log.info("pool %s retires: pending_requests=%d", service.plan.name, len(service.pool.pending))
            service.pool.retire(self._sidecar.remove_pool)
        log.info(
            "sidecar replaced the route table: number=%d routes=%d pools=%d",
            table.number,
            len(plan.routes),
            len(self.by_name),
        )

    def _replace_services(self, plan: ServicesPlan) -> list[Service]:
        """Create new services of a plan, update continuing ones, and return those that the plan retires."""
        continuing, retired = {}, []
        for name, service in self.by_name.items():
            pool_plan = plan.pools.get(name)
            if pool_plan is not None and service.plan.can_continue_as(pool_plan):
                continuing[name] = service
            else:
                retired.append(service)
        self.by_name = {
            name: self._update(continuing[name], pool_plan) if name in continuing else self._create(pool_plan)
            for name, pool_plan in plan.pools.items()
        }
        return retired

    def _request_reader(self, plan: ServicesPlan, table: RouteTable) -> RoutingRequestReader:
        readers = {
            route.name: RouteRequestReader(
                route.pool, self.by_name[route.pool].pool, plan.options[route.name], _make_id
            )
            for route in plan.routes
        }
        return RoutingRequestReader(table, readers)

    def _create(self, plan: PoolPlan) -> Service:
        names = NameTable(plan.settings.zones, [])
        budget = PoolBudget(self._sidecar.budget, self.reservations)
        config = PoolConfig(
            settings=plan.settings,
            transport=Transport([], plan.idle_ns, plan.limits.max),
            seed=self._seed(),
            discovery=plan.discovery,
            names=names,
            initial_endpoints=_endpoint_list(plan, names, 1),
            label=plan.name,
        )
        pool = Pool(self._sidecar, config, budget, self._sidecar.close_unneeded_upstream)
        self._sidecar.add_pool(pool)
        return Service(plan, pool, budget)

    def _update(self, service: Service, plan: PoolPlan) -> Service:
        """Apply another endpoint list, discovery address or limit to a running pool."""
        previous, service.plan = service.plan, plan
        service.pool.max_pending = plan.limits.max
        if plan.discovery is not None and service.pool.discovery is not None:
            service.pool.discovery.change_address(plan.discovery)
        elif plan.servers != previous.servers:
            service.list_version += 1
            service.pool.on_update(_endpoint_list(plan, service.pool.names, service.list_version))
        return service


def _endpoint_list(plan: PoolPlan, names: NameTable, version: int) -> EndpointUpdate:
    """Return the endpoint list of the file: endpoints are named by address and are all in one zone."""
    entries = []
    for address in plan.servers:
        name = f"{address[0]}:{address[1]}"
        endpoint = Endpoint(names.endpoint(name), 0, 0, 0, State.READY)
        entries.append(EndpointRecord(name, endpoint, address, 0))
    return EndpointUpdate(version, True, entries)


def _make_id() -> str:
    return uuid4().hex
