"""A world that runs: its processes, its faults, and what the rules are told of them."""

from __future__ import annotations

import dataclasses
import tomllib
from collections.abc import Callable
from typing import Any

from ..balancer.settings import Effect, RequestClass, Scope, Settings
from ..control.admin_operations import AdminOperations
from ..control.admin_requests import Action, AdminRequest
from ..routing.config import read_plan
from ..routing.plan import Plan
from .clients import App
from .kernel import EPOCH_NS, MS, SECOND, Kernel, stream
from .network import Address, Network
from .nodes import Node
from .process import PORT, SOCKETS, Sidecar, bounds_broken, left_over
from .registry import Registry
from .rules import Breach, Rules
from .schedule import CLOCK_STEPS_NS, OF_CALLS, WORLDS, Arrival, Fault, Kind, Scenario
from .state_directory import Folder
from .syscalls import SystemCall
from .view_rules import ViewRules
from .wire import Wire

QUIET_NS = 9 * SECOND  # after the last request: every fault ends, every deadline and idle connection passes
FAILED_TIMES = 4  # as long after a call that failed, a sidecar may go by the list that it has
ASK_SLACK_NS = 500 * MS  # on the way, and until a check sees it
CHECK_NS = 250 * MS  # between two looks at the bounds
FLOOD = 80
LARGE = 25_000  # parts in the body of a request that can't be held: 100 KB, more than a window
GRACE_NS = 500 * MS
YES_NS = 6 * SECOND  # within which a newer process is to take clients (DAYS)
DISCOVERY = "discovery"  # the machine whose clock it goes by, wherever it moves
CLASSES = ("lookup", "hold", "order")
POOLS = ("catalogue", "stock", "orders")


def settings_of(scenario: Scenario) -> Settings:
    """What the sidecars of a scenario are told, as a platform would."""
    lookup, hold, order = (ms * MS for ms in WORLDS[scenario.world].deadlines_ms)
    scope = Scope.ALL if scenario.world == "services" else Scope.CELL
    return Settings(
        classes=[
            RequestClass("lookup", lookup // 3, lookup, 1.0, 0.25, Effect.SAFE),
            RequestClass("hold", hold // 3, hold, 3.0, 0.25, Effect.KEYED, scope, 700 * MS),
            RequestClass("order", order // 3, order, 10.0, 0.25, Effect.UNSAFE),
        ],
        zones=list(WORLDS[scenario.world].zones),
        fleet_size=scenario.sidecars,
        must_ask=True,
        drain_grace_ns=GRACE_NS,
        start_capacity=WORLDS[scenario.world].cold_share,
        warm_within_ns=WORLDS[scenario.world].warm_ns,
        overload_factor=3.0,
        overload_for_ns=2 * SECOND,
        max_attempts=3,
        can_cancel=True,
        can_tell=True,
        retry_after=True,
        max_retry_after_ns=2 * SECOND,
        connect_timeout_ns=250 * MS,
        report_columns=("qps", "util"),
    )


class Running:
    """One scenario while it is played."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.kernel = Kernel(scenario.seed)
        self.network = Network(self.kernel)
        self.settings = settings_of(scenario)
        settings = self.settings
        self.rules = Rules(
            settings.classes, settings.drain_grace_ns, settings.overload_factor, settings.overload_for_ns
        )
        self.places: dict[str, Node] = {}  # the node at each address
        self.wire = Wire(self.kernel, self.rules, self._place_of)
        self.network.tap = self.wire
        self.last_told: dict[str, tuple[tuple[int, int], dict[str, dict[str, Any]]]] = {}
        self.replaced = 0
        self.true_ms: dict[tuple[str, int], int] = {}  # a start as it is told -> when it truly was
        self.started = 0  # processes that were started beside others
        self.asked_ns: dict[str, int] = {}  # when each sidecar called discovery last
        self.turned_ns = 0  # when discovery last came, went or moved
        self.nodes = [self._make_node(number) for number in range(scenario.servers)]
        self.clock_steps = stream(scenario.seed, "clocks")
        if WORLDS[scenario.world].clocks:
            self._set_clocks()
        self.plan: Plan | None = None
        self.plan_number = 0
        self.listed: dict[str, set[str]] = {}  # sidecar -> servers that its plan names
        if scenario.world == "services":
            self._set_plan()
        for node in self.nodes:
            node.start(cold=False)
        entries = {node.name: self.entry(node, "SERVING") for node in self.nodes}
        self.registry = Registry(self, 0, dict(entries))
        self.folders = [Folder() for _ in range(scenario.sidecars)]
        self.others: list[Sidecar] = []  # processes beside the first ones
        self.sidecars = [Sidecar(self, number) for number in range(scenario.sidecars)]
        for side in self.sidecars:
            self.last_told[side.name] = ((0, self.registry.version), dict(entries))
            side.start()
        self.apps = [
            App(self, number, [one for one in scenario.arrivals if one.sidecar == number])
            for number in range(scenario.sidecars)
        ]
        for fault in scenario.faults:
            self.kernel.at(fault.at_ns, self._begin, fault)
        self.kernel.at(CHECK_NS, self._check)
        self.views = ViewRules(scenario.sidecars, self.rules) if WORLDS[scenario.world].view else None

    # What the processes ask of the world

    def processes(self) -> list[Sidecar]:
        """All processes of sidecars, in the order in which they were made."""
        return [*self.sidecars, *self.others]

    def living(self, number: int) -> list[Sidecar]:
        """The living processes of a sidecar, the oldest first."""
        living = [side for side in self.processes() if side.number == number and side.alive]
        return sorted(living, key=lambda side: side.began_ns)

    def _make_node(self, number: int) -> Node:
        name = f"n{number}" if not self.replaced else f"n{number}v{self.replaced}"
        address = f"10.1.0.{number + 1}"
        pool = POOLS[number % 3] if self.scenario.world == "services" else ""
        node = self.places[address] = Node(self, name, address, 0 if pool else number % 2, pool)
        return node

    def _place_of(self, address: str) -> tuple[str, int] | None:
        node = self.places.get(address)
        return (node.name, node.group) if node is not None else None

    def zone_of(self, node: Node) -> str:
        zones = WORLDS[self.scenario.world].zones
        return zones[int(node.address.rpartition(".")[2]) % len(zones)]

    def settings_at(self, number: int) -> Settings:
        """What one of the sidecars is told."""
        world = WORLDS[self.scenario.world]
        zone = number % len(world.zones) if world.spread else 0
        return dataclasses.replace(self.settings, zone=zone, index=number)

    def entry(self, node: Node, status: str) -> dict[str, Any]:
        """What discovery tells of a node."""
        return {
            "name": node.name,
            "address": f"{node.address}:{PORT}",
            "zone": self.zone_of(node),
            "type": "std",
            "group": node.group,
            "status": status,
            "weight": 1.0,
            "since_ms": node.since_ms,
        }

    def stamp_ms(self, node: Node) -> int:
        """The start of a node, now, as the list will tell it.

        Its own clock says it, or discovery's for every other node: which of them writes `since_ms` is the
        operators' affair, and either clock may be wrong.
        """
        by_node = int(node.address.rpartition(".")[2]) % 2
        told_ms = self.network.wall_ns(node.name if by_node else DISCOVERY) // MS
        self.true_ms[node.name, told_ms] = (EPOCH_NS + self.kernel.now_ns) // MS
        return told_ms

    def true_start_ms(self, entry: dict[str, Any]) -> int:
        """When the start that an entry tells of truly was, whatever the clocks said."""
        return self.true_ms.get((entry["name"], entry["since_ms"]), entry["since_ms"])

    def front_address(self, number: int) -> Address:
        return self.sidecars[number].address, PORT

    def class_of(self, first_line: str) -> int:
        return CLASSES.index(first_line.split()[1].split("/")[1])

    @staticmethod
    def pool_of(cls: int) -> str:
        return POOLS[cls]

    @staticmethod
    def request(arrival: Arrival, ident: str, left_ms: int) -> bytes:
        """A client's request as bytes."""
        name = CLASSES[arrival.cls]
        method = "GET" if arrival.cls == 0 else "POST"
        body = b"" if arrival.cls == 0 else b"hull" * (LARGE if arrival.large else 1 + arrival.number % 3)
        query = "?large" if arrival.large and not body else ""
        lines = [f"{method} /{name}/part{query} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {ident}"]
        lines.append(f"X-Deadline: {left_ms}m")
        if arrival.cls == 1:
            lines.append(f"Idempotency-Key: key-{ident}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def asked(self, sidecar: str, failed: bool = False) -> None:
        """A sidecar has called discovery, or watched it until now."""
        more_ns = (FAILED_TIMES - 1) * self.settings.must_ask_in_ns if failed else 0
        self.asked_ns[sidecar] = self.kernel.now_ns + more_ns

    def registry_turned(self) -> None:
        """Discovery has gone down, moved or come back: what the rules allow without a call counts anew."""
        self.turned_ns = self.kernel.now_ns

    def _check_asked(self, side: Sidecar) -> None:
        """The rule that a sidecar watches, or has called lately enough; judged where it spreads its calls."""
        registry, now = self.registry, self.kernel.now_ns
        watches = any(caller.sidecar == side.name for caller in registry.watchers)
        since = max(self.asked_ns.get(side.name, 0), side.began_ns, self.turned_ns)
        late_ns = now - since - self.settings.must_ask_in_ns
        if side.alive and not (side.ending or watches or registry.down) and late_ns > ASK_SLACK_NS:
            self.rules.breach(now, "lists", f"{side.name} has not asked for {(now - since) / SECOND:.1f} s")

    def told(
        self, sidecar: str, registry: Registry, version: int, whole: bool, entries: list[dict[str, Any]]
    ) -> None:
        """A list or a change of it has arrived at a sidecar."""
        before, known = self.last_told[sidecar]
        if (registry.number, version) < before:
            return  # older than what it has
        moved = registry.number != before[0] and not whole
        if registry is not self.registry or moved:
            # Of one that it leaves just now, or a change to a list that it never had: it may act on it or
            # not, so that only what allows more counts.
            for entry in entries:
                if entry["status"] == "SERVING":
                    since_ms = entry["since_ms"]
                    self.rules.told_state(self.kernel.now_ns, sidecar, entry["name"], True, since_ms)
            return
        names = {entry["name"] for entry in entries}
        now = self.kernel.now_ns
        if whole:
            for gone in [name for name in known if name not in names]:
                self.rules.told_state(now, sidecar, gone, False, 0)
            known = {}
        for entry in entries:
            serving = entry["status"] == "SERVING"
            self.rules.told_state(now, sidecar, entry["name"], serving, entry["since_ms"])
            if entry["status"] == "DELETED":
                known.pop(entry["name"], None)
            else:
                known[entry["name"]] = entry
        self.last_told[sidecar] = ((registry.number, version), known)

    def known(self, sidecar: str) -> dict[str, Any]:
        """The list that a sidecar starts with: as it last had it."""
        (_, version), entries = self.last_told[sidecar]
        return {"index": version, "snapshot": True, "endpoints": list(entries.values())}

    # Several services

    def _set_plan(self) -> None:
        """The next of the plans that reloads go through."""
        left_out = self.plan_number % 4 == 1
        slower = self.plan_number % 4 == 2
        lines = ["[node]", 'listen = "127.0.0.1:7070"']
        for number, (pool, name) in enumerate(zip(POOLS, CLASSES, strict=True)):
            spec = self.settings.classes[number]
            nodes = [node for node in self.nodes if node.pool == pool]
            if left_out:
                nodes = nodes[1:]
            effect = ("safe", "keyed", "unsafe")[spec.effect]
            deadline = spec.deadline_ns // MS + (100 if slower else 0)
            lines += [
                f"[pools.{pool}]",
                f"servers = {[f'{node.address}:{PORT}' for node in nodes]}",
                f"open_least = {10 + self.plan_number % 2}",
                f"[pools.{pool}.classes.{name}]",
                f'effect = "{effect}"',
                f"aim_ms = {spec.objective_ns // MS}",
                f"deadline_ms = {deadline}",
                'scope = "all"',
                f"window_ms = {spec.window_ns // MS}",
                "[[routes]]",
                f'name = "{pool}"',
                f'pool = "{pool}"',
                f'prefix = "/{name}"',
                f'classes = {{ {"GET" if number == 0 else "POST"} = "{name}" }}',
            ]
        self.plan, problems = read_plan(tomllib.loads("\n".join(lines)))
        assert self.plan is not None, problems

    def plan_told(self, sidecar: str) -> None:
        """A sidecar has taken the present plan: servers that it no longer names are to be left alone."""
        assert self.plan is not None
        addresses = {address[0] for pool in self.plan.pools.values() for address in pool.servers}
        for node in self.nodes:
            named = node.address in addresses
            self.rules.told_state(self.kernel.now_ns, sidecar, node.name, named, 0)

    # Faults

    def _begin(self, fault: Fault) -> None:
        self.kernel.note(f"fault {fault.kind} server {fault.server} sidecar {fault.sidecar}")
        if fault.kind in OF_CALLS:
            self._begin_failing(fault)
        else:
            getattr(self, f"_fault_{fault.kind}", self._fault_wrong)(fault)

    def _later(self, fault: Fault, act: Any, *arguments: Any) -> None:
        self.kernel.after(fault.span_ns, act, *arguments)

    def _fault_wrong(self, fault: Fault) -> None:
        node = self.nodes[fault.server]
        node.wrong[fault.kind] = node.wrong.get(fault.kind, 0) + 1
        self._later(fault, self._right, node, fault.kind)

    def _right(self, node: Node, kind: Kind) -> None:
        node.wrong[kind] -= 1

    def _fault_crash(self, fault: Fault) -> None:
        node = self.nodes[fault.server]
        if node.alive:
            node.kill()
            self.registry.later(self.entry(node, "DELETED"))
            self._later(fault, self._revive, fault.server, node)

    def _revive(self, number: int, node: Node) -> None:
        node.start(cold=True)
        if self.nodes[number] is node:
            self.registry.later(self.entry(node, "SERVING"))

    def _fault_drain(self, fault: Fault) -> None:
        node = self.nodes[fault.server]
        if self.plan is not None or not node.alive:
            return
        self.registry.later(self.entry(node, "DRAINING"))
        self._later(fault, self._replace, fault.server, node)

    def _replace(self, number: int, node: Node) -> None:
        if self.nodes[number] is not node or not node.alive:
            return
        node.kill()
        self.registry.later(self.entry(node, "DELETED"))
        self.replaced += 1
        self.nodes[number] = self._make_node(number)
        self.nodes[number].start(cold=True)
        self.registry.later(self.entry(self.nodes[number], "SERVING"))

    def _fault_vanish(self, fault: Fault) -> None:
        node = self.nodes[fault.server]
        for side in self.sidecars:
            self.network.part(side.name, node.name)
        self._later(fault, self._appear, node)

    def _appear(self, node: Node) -> None:
        """It is back: what stood open is reset, what was sent meanwhile is lost."""
        for sock in list(self.network.open[node.name].values()):
            if not sock.listening:
                sock.abandon()
        for side in self.sidecars:
            way = frozenset((side.name, node.name))
            self.network.stuck.pop(way, None)
            self.network.cut.discard(way)
            for sock in [
                sock
                for one in self.processes()
                if one.name == side.name
                for sock in self.network.open[one.process].values()
            ]:
                if self.network.owners.get(sock.remote[0]) == node.name and sock.peer is not None:
                    self.network.reset_arrives(sock)

    def _fault_cut(self, fault: Fault) -> None:
        one, other = self.sidecars[fault.sidecar].name, self.nodes[fault.server].name
        self.network.part(one, other)
        self._later(fault, self.network.heal, one, other)

    def _fault_lag(self, fault: Fault) -> None:
        ways = [frozenset((side.name, node.name)) for side in self.sidecars for node in self.nodes]
        for way in ways:
            self.network.lag_ns[way] = self.network.lag_ns.get(way, 0) + 30 * MS
        self._later(fault, self._unlag, ways)

    def _unlag(self, ways: list[frozenset[str]]) -> None:
        for way in ways:
            self.network.lag_ns[way] -= 30 * MS

    def _fault_discovery(self, fault: Fault) -> None:
        registry = self.registry
        registry.fail(True)
        self._later(fault, registry.fail, False)

    def _fault_stale(self, fault: Fault) -> None:
        registry = self.registry
        registry.stale += 1
        self._later(fault, self._fresh, registry)

    def _fresh(self, registry: Registry) -> None:
        registry.stale -= 1

    def _fault_move(self, fault: Fault) -> None:
        if self.plan is not None:
            self.plan_number += 1
            self._set_plan()
        else:
            entries = {node.name: self.entry(node, "SERVING") for node in self.nodes if node.alive}
            old = self.registry
            self.registry = Registry(self, old.number + 1, entries)
            self.registry_turned()
            old.loop.wake(old.listener.close)
            self.kernel.after(1_500 * MS, self._close_old, old)
        for side in self.processes():
            side.reload()

    def _close_old(self, registry: Registry) -> None:
        for connection in list(registry.connections):
            registry.loop.wake(connection.transport.close)

    def _fault_pause(self, fault: Fault) -> None:
        side = self._one_of(fault)
        if side is not None:
            side.pause(fault.span_ns)

    def _one_of(self, fault: Fault) -> Sidecar | None:
        """A living process of the sidecar that a fault is for."""
        living = self.living(fault.sidecar)
        return living[fault.server % len(living)] if living else None

    def _fault_kill(self, fault: Fault) -> None:
        side = self._one_of(fault)
        if side is not None:
            side.kill()
            self._later(fault, self._start_again, side, side.life)

    def _fault_upgrade(self, fault: Fault) -> None:
        living = self.living(fault.sidecar)
        # Three of which none can show itself would be one more than the hand-over has room for.
        most = 1 if self.folders[fault.sidecar].full else 2
        if not 0 < len(living) <= most:
            return
        self.started += 1
        made = Sidecar(self, fault.sidecar, self.started)
        self.others.append(made)
        made.start()
        self._await_yes(made, living, self.kernel.now_ns)

    def _await_yes(self, made: Sidecar, older: list[Sidecar], since_ns: int) -> None:
        """As the platform does: when the new process takes clients, the older ones are told to end."""
        if not made.alive or made.ending:
            return
        if made.engine is not None and made.engine.accepts_clients:
            for side in older:
                if side.alive:
                    side.terminate()
        elif self.kernel.now_ns > since_ns + YES_NS + made.loop.paused_ns:
            self.rules.breach(self.kernel.now_ns, "upgrades", f"{made.process} said no yes within 6 s")
        else:
            self.kernel.after(50 * MS, self._await_yes, made, older, since_ns)

    def _fault_ban(self, fault: Fault) -> None:
        side = self._one_of(fault)
        if side is not None and side.engine is not None:
            side.loop.wake(self._maintain, side, side.life, self.nodes[fault.server], True)
            self._later(fault, self._unban, fault, self.nodes[fault.server])

    def _unban(self, fault: Fault, node: Node) -> None:
        side = self._one_of(fault)
        if side is not None and side.engine is not None:
            side.loop.wake(self._maintain, side, side.life, node, False)

    def _maintain(self, side: Sidecar, life: int, node: Node, out: bool) -> None:
        """A call at a process's door; from its yes it binds the sidecar, over upgrades too."""
        if side.life != life or side.engine is None or side.upgrade is None or side.ending:
            return
        reply = AdminOperations(side.engine, side.upgrade).carry_out(
            AdminRequest(Action.OUT if out else Action.BACK, node.name)
        )
        if reply.code == 200:
            self.kernel.note(f"{side.process} {'takes out' if out else 'puts back'} {node.name}")
            self.rules.banned(self.kernel.now_ns, side.name, node.name, out)

    def _set_clocks(self) -> None:
        """Half of the machines have a wrong clock from the start."""
        sidecars = [f"sidecar{number}" for number in range(self.scenario.sidecars)]
        for host in [*sidecars, *(node.name for node in self.nodes), DISCOVERY]:
            if self.clock_steps.random() < 0.5:
                self._step_clock(host, self.clock_steps.choice(CLOCK_STEPS_NS))

    def _step_clock(self, host: str, step_ns: int) -> None:
        steps = self.network.clock_steps_ns
        steps[host] = steps.get(host, 0) + step_ns
        self.kernel.note(f"the clock of {host} steps by {step_ns // SECOND} s")

    def _fault_clock_here(self, fault: Fault) -> None:
        self._begin_step(fault, f"sidecar{fault.sidecar}")

    def _fault_clock_there(self, fault: Fault) -> None:
        self._begin_step(fault, self.nodes[fault.server].name)

    def _fault_clock_list(self, fault: Fault) -> None:
        self._begin_step(fault, DISCOVERY)

    def _begin_step(self, fault: Fault, host: str) -> None:
        step_ns = self.clock_steps.choice(CLOCK_STEPS_NS)
        self._step_clock(host, step_ns)
        self._later(fault, self._step_clock, host, -step_ns)

    def _begin_failing(self, fault: Fault) -> None:
        host, call = f"sidecar{fault.sidecar}", SystemCall(fault.kind)
        share = self.network.failing.begin(host, call)
        self._later(fault, self.network.failing.end, host, call, share)

    def _fault_disk(self, fault: Fault) -> None:
        folder = self.folders[fault.sidecar]
        folder.full += 1
        self._later(fault, self._disk_free, folder)

    @staticmethod
    def _disk_free(folder: Folder) -> None:
        folder.full -= 1

    def _fault_term(self, fault: Fault) -> None:
        side = self.sidecars[fault.sidecar]
        if side.alive and not side.ending:
            side.terminate()
            self.kernel.after(2 * SECOND + fault.span_ns, self._start_again, side, side.life)

    def _start_again(self, side: Sidecar, life: int) -> None:
        if side.life == life and not side.alive and not self.living(side.number):
            side.start()

    def _fault_herd(self, fault: Fault) -> None:
        for number, side in enumerate(self.sidecars):
            if (number + fault.sidecar) % 10 < 7 and side.alive:
                side.kill()
                self._later(fault, self._start_again, side, side.life)

    def _fault_zone(self, fault: Fault) -> None:
        zone = self.zone_of(self.nodes[fault.server])
        for number, node in enumerate(self.nodes):
            if self.zone_of(node) == zone and node.alive:
                node.kill()
                self.registry.later(self.entry(node, "DELETED"))
                self._later(fault, self._revive, number, node)

    def _fault_replace(self, fault: Fault) -> None:
        chosen = [n for n in range(len(self.nodes)) if (n + fault.server) % 10 < 6 and self.nodes[n].alive]
        for place, number in enumerate(chosen):
            self.kernel.after(fault.span_ns * place // len(chosen), self._drain, number, self.nodes[number])

    def _fault_part(self, fault: Fault) -> None:
        """In halves, in thirds, or so that only one half is heard by the other."""
        parts, one_way = 2 + fault.server % 2, fault.server % 5 == 0
        of = {side.name: (side.number + fault.sidecar) % parts for side in self.sidecars}

        def passes(sender: str, receiver: str) -> bool:
            one, other = of.get(sender, 0), of.get(receiver, 0)
            return one == other or (one_way and one < other)

        self.network.passes = passes
        self._later(fault, self._whole, passes)

    def _whole(self, passes: Callable[[str, str], bool]) -> None:
        if self.network.passes is passes:  # else another fault of the kind has begun
            self.network.passes = lambda _from, _to: True
            assert self.views is not None
            self.views.disturbed(self.kernel.now_ns)

    def _drain(self, number: int, node: Node) -> None:
        self.registry.later(self.entry(node, "DRAINING"))
        self.kernel.after(2 * GRACE_NS, self._replace, number, node)

    def _fault_overbook(self, fault: Fault) -> None:
        registry = self.registry
        registry.overbooked += 1
        self._later(fault, registry.cleared)

    def _fault_squeeze(self, fault: Fault) -> None:
        name = self.sidecars[fault.sidecar].name
        self.network.descriptors[name] = max(len(self.network.open[name]) - 4, 24)
        self._later(fault, self.network.descriptors.pop, name, None)

    def _fault_flood(self, fault: Fault) -> None:
        app = self.apps[fault.sidecar]
        app.loop.wake(app.flood_open, FLOOD)
        self._later(fault, app.loop.wake, app.flood_close)

    # Checks

    def _check(self) -> None:
        for side in self.processes():
            self.check_process(side)
        if WORLDS[self.scenario.world].calls:
            for side in self.sidecars:
                self._check_asked(side)
        for number in range(len(self.sidecars)):
            self._check_together(number)
        if self.views is not None:
            views = {side.number: side.fleet.membership for side in self.sidecars if side.fleet is not None}
            self.views.look(self.kernel.now_ns, views)
        self.kernel.after(CHECK_NS, self._check)

    def check_process(self, side: Sidecar) -> None:
        """Look at the bounds that a process states, and at what it failed to catch."""
        now = self.kernel.now_ns
        for failure in side.loop.failures:
            self.rules.breach(now, "no unhandled error", f"{side.name}: {failure}")
        side.loop.failures.clear()
        if side.engine is not None and side.alive:
            for text in bounds_broken(side.engine, self.network.open[side.process]):
                self.rules.breach(now, "bounds", f"{side.name}: {text}")

    def _check_together(self, number: int) -> None:
        """What the processes of a sidecar hold together, and that somebody takes clients."""
        living = [side for side in self.living(number) if side.engine is not None]
        if len(living) < 2:
            return
        now = self.kernel.now_ns
        held = sum(len(self.network.open[side.process]) for side in living)
        if held > SOCKETS:
            self.rules.breach(now, "bounds", f"{living[0].name}: {held} descriptors of {SOCKETS} in all")
        served = [
            side.engine for side in living if side.engine is not None and side.engine.listener is not None
        ]
        most = sum(engine.max_descriptors for engine in served)
        if most > SOCKETS:
            self.rules.breach(now, "bounds", f"{living[0].name}: {most} descriptors of {SOCKETS} claimed")
        staying = [side for side in living if not side.ending]
        if staying and not served and all(now - side.began_ns > YES_NS for side in staying):
            self.rules.breach(now, "upgrades", f"nobody takes the clients of {living[0].name}")

    def _check_plans(self) -> None:
        """At rest all sidecars of a zone hold one plan."""
        held: dict[int, set[int]] = {}
        for side in self.sidecars:
            if side.alive and side.failover is not None and not side.ending:
                plan = side.failover.plan
                held.setdefault(plan.origin, set()).add(plan.level)
        for zone, levels in held.items():
            if len(levels) > 1:
                text = f"sidecars of zone {zone} hold levels {sorted(levels)}"
                self.rules.breach(self.kernel.now_ns, "plans", text)

    def play(self, steps_most: int | None = None) -> list[Breach]:
        """Run to the end, the quiet after it included; what was broken."""
        until_ns = self.scenario.span_ns
        self.kernel.run(until_ns, steps_most)
        if steps_most is not None and self.kernel.steps >= steps_most:
            return self.rules.breaches
        self.kernel.run(until_ns + QUIET_NS - 3 * SECOND)
        if self.views is not None:
            until_ns = self.views.settled_by(self.kernel.now_ns)
            self.kernel.run(until_ns)
            self.views.at_rest(until_ns)
            self._check_plans()
        for app in self.apps:
            app.loop.wake(app.close)
        self.kernel.run(until_ns + QUIET_NS)
        for side in self.processes():
            self.check_process(side)
            if side.alive and not side.ending and side.engine is not None:
                for text in left_over(side.engine):
                    self.rules.breach(self.kernel.now_ns, "nothing left", f"{side.name}: {text}")
        self.rules.counts["errors"] = self.network.failing.count
        return self.rules.breaches


def without(scenario: Scenario, faults: tuple[Fault, ...], arrivals: tuple[Arrival, ...]) -> Scenario:
    """The same scenario with other faults and requests."""
    return dataclasses.replace(scenario, faults=faults, arrivals=arrivals)
