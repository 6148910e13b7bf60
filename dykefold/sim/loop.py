"""An asyncio event loop of one virtual process.

The guarantees of asyncio hold: `call_soon` is first in, first out, and a callback is not interrupted. What
asyncio leaves open is random: the order of ready descriptors, the order of timers due at the same time, and
whether timers or I/O run first. As on uvloop, the loop's own time is in whole milliseconds and does not
advance within a turn, so that a timer may fire up to one millisecond early. A turn takes virtual time that
grows with the number of its callbacks; a paused process runs no turns.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVar, cast

from .kernel import NS_PER_MS, Kernel, stream
from .network import Network
from .sockets import Address, SimSocket
from .transport import SimTransport

TURN_NS = 4_000  # Fixed cost of a turn of the loop.
CALLBACK_NS = 9_000  # Mean cost of a callback; a request takes some ten of them.
# Fraction of turns that take `LONG_TURN_RANGE_MS` longer, e.g. because of a garbage collection.
LONG_TURN_SHARE = 0.01
LONG_TURN_SHARE_ON_CONNECTION_CHANGE = 0.2  # The same fraction for turns that open or close a connection.
# Range of the added duration of a long turn. Events that fall due meanwhile are handled in one next turn.
LONG_TURN_RANGE_MS = (2.0, 15.0)
PHASES = 3  # Timers, callbacks and I/O.

Result = TypeVar("Result")
AnyProtocol = TypeVar("AnyProtocol", bound=asyncio.Protocol)


class SimLoop:
    """The loop of the process `name`; `network` creates and connects its sockets.

    Implements only those methods of `asyncio.AbstractEventLoop` that the program calls.

    Args:
        kernel: Clock and event queue of the world.
        name: Name of the process.
        network: Network of the world.

    Attributes:
        host: Name of the host of the process; several processes may share one.
        ready_io: I/O callbacks to run in the next turn.
        fault_pauses_ns: Total duration of the pauses injected by faults, in nanoseconds.
        long_turns_ns: Total added duration of long turns, in nanoseconds.
        previous_turn_end_ns: End time of the previous turn, in nanoseconds.
        next_turn_ns: Start time of the next turn, in nanoseconds; negative if none is scheduled.
        turn_elapsed_ns: Elapsed time of the current turn, in nanoseconds.
        now_ms: Loop time, in milliseconds.
        connection_changed: Whether a connection was opened or began to close in the current turn.
        failures: Descriptions of the uncaught exceptions.
    """

    def __init__(self, kernel: Kernel, name: str, network: Network, host: str = "") -> None:
        """Create the loop of a process that starts now."""
        self.kernel = kernel
        self.name = name
        self.host = host or name
        self.network = network
        self.random: random.Random = stream(kernel.seed, "loop", name)
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[int, float, int, asyncio.TimerHandle]] = []
        self.ready_io: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.readers: dict[int, tuple[SimSocket, Callable[[], object]]] = {}
        self.signals: dict[int, tuple[Callable[..., object], tuple[object, ...]]] = {}
        self.alive = True
        self.paused_until_ns = 0
        self.fault_pauses_ns = 0
        self.previous_turn_end_ns = 0
        self.next_turn_ns = -1
        self.turn_number = 0
        self.turn_elapsed_ns = 0
        self.now_ms = kernel.now_ns // NS_PER_MS
        self.timer_count = 0
        self.long_turns_ns = 0
        self.in_turn = False
        self.connection_changed = False
        self.failures: list[str] = []

    @property
    def for_asyncio(self) -> asyncio.AbstractEventLoop:
        """The loop, typed as the program and asyncio require it."""
        return cast("asyncio.AbstractEventLoop", self)

    # Turns

    def _schedule_turn(self, at_ns: int) -> None:
        if self.in_turn:
            return
        at_ns = max(at_ns, self.previous_turn_end_ns, self.paused_until_ns)
        if 0 <= self.next_turn_ns <= at_ns:
            return
        self.next_turn_ns = at_ns
        self.turn_number += 1
        self.kernel.at(at_ns, self._turn, self.turn_number)

    def _turn(self, number: int) -> None:
        if not self.alive or number != self.turn_number or self.next_turn_ns < 0:
            return
        if self.paused_until_ns > self.kernel.now_ns:
            self.next_turn_ns = -1
            self._schedule_turn(self.paused_until_ns)
            return
        self.next_turn_ns, self.in_turn = -1, True
        self.turn_elapsed_ns = TURN_NS
        self.now_ms = self.kernel.now_ns // NS_PER_MS
        events._set_running_loop(self.for_asyncio)
        try:
            phases = [self._run_timers, self._run_ready, self._run_io]
            # On a real loop an event may become ready during any phase, so the first phase is random.
            start = self.random.randrange(PHASES)
            for phase in phases[start:] + phases[:start]:
                phase()
        finally:
            events._set_running_loop(None)
            self.in_turn = False
        if self.random.random() < (
            LONG_TURN_SHARE_ON_CONNECTION_CHANGE if self.connection_changed else LONG_TURN_SHARE
        ):
            extra_ns = int(self.random.uniform(*LONG_TURN_RANGE_MS) * NS_PER_MS)
            self.turn_elapsed_ns += extra_ns
            self.long_turns_ns += extra_ns
        self.previous_turn_end_ns = self.kernel.now_ns + self.turn_elapsed_ns
        self.turn_elapsed_ns = 0
        self.connection_changed = False
        self._schedule_next_turn()

    def _schedule_next_turn(self) -> None:
        if self.ready or self.ready_io:
            self._schedule_turn(self.previous_turn_end_ns)
        elif self.timers:
            self._schedule_turn(self.timers[0][0] * NS_PER_MS)

    def _charge_callback(self) -> None:
        self.kernel.steps += 1
        self.turn_elapsed_ns += int(CALLBACK_NS * 2 * self.random.random()) + 1

    def _run_timers(self) -> None:
        timers = self.timers
        while timers and timers[0][0] <= self.now_ms:
            handle = heapq.heappop(timers)[3]
            if not handle.cancelled() and self.alive:
                self._charge_callback()
                handle._run()

    def _run_ready(self) -> None:
        for _ in range(len(self.ready)):
            handle = self.ready.popleft()
            if not handle.cancelled() and self.alive:
                self._charge_callback()
                handle._run()

    def _run_io(self) -> None:
        callbacks, self.ready_io = self.ready_io, []
        if len(callbacks) > 1:
            self.random.shuffle(callbacks)
        for callback, arguments in callbacks:
            if self.alive:
                self._charge_callback()
                try:
                    callback(*arguments)
                except Exception as error:
                    self.call_exception_handler({"message": "in I/O", "exception": error})

    def wake(self, callback: Callable[..., object], *arguments: object) -> None:
        """Schedule a callback for the next turn, in random order among the other ready I/O callbacks."""
        if self.alive:
            self.ready_io.append((callback, arguments))
            self._schedule_turn(self.kernel.now_ns)

    def pause(self, duration_ns: int) -> None:
        """Suspend the process for `duration_ns`, like SIGSTOP followed by SIGCONT."""
        before = max(self.paused_until_ns, self.kernel.now_ns)
        self.paused_until_ns = max(before, self.kernel.now_ns + duration_ns)
        self.fault_pauses_ns += self.paused_until_ns - before

    @property
    def paused_ns(self) -> int:
        """Total time for which the process has not run until now, in nanoseconds."""
        remaining_ns = max(self.paused_until_ns - self.kernel.now_ns, 0)
        return self.fault_pauses_ns - remaining_ns + self.long_turns_ns

    def signal(self, number: int) -> None:
        """Deliver a signal; ignored if the process has no handler for it."""
        if number in self.signals:
            callback, arguments = self.signals[number]
            self.wake(callback, *arguments)

    def die(self) -> None:
        """End the process: none of its callbacks runs afterwards."""
        self.alive = False
        self.ready.clear()
        self.timers.clear()
        self.ready_io.clear()
        self.readers.clear()

    # asyncio.AbstractEventLoop

    def call_soon(
        self, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the next turn, first in, first out."""
        handle = asyncio.Handle(callback, args, self.for_asyncio, context)
        self.ready.append(handle)
        self._schedule_turn(self.kernel.now_ns)
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in seconds, rounded to whole milliseconds."""
        return self._start_timer(self.now_ms + max(round(delay * 1000), 0), callback, args, context)

    def call_at(
        self, when: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a loop time in seconds."""
        return self._start_timer(max(round(when * 1000), self.now_ms), callback, args, context)

    def _start_timer(
        self, due_ms: int, callback: Callable[..., object], args: tuple[object, ...], context: Context | None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(due_ms / 1000, callback, args, self.for_asyncio, context)
        self.timer_count += 1
        heapq.heappush(self.timers, (due_ms, self.random.random(), self.timer_count, handle))
        self._schedule_turn(due_ms * NS_PER_MS)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: the heap drops the handle when it is due, at most some seconds later."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self.now_ms / 1000

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self.for_asyncio)

    def create_task(
        self,
        coro: Coroutine[Any, Any, Result],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Result]:
        """Run a coroutine as a task of this loop."""
        return asyncio.Task(coro, loop=self.for_asyncio, name=name, context=context)

    def get_debug(self) -> bool:
        """Return False: there is no debug mode."""
        return False

    def is_running(self) -> bool:
        """Return whether a turn is running."""
        return self.in_turn

    def is_closed(self) -> bool:
        """Return whether the process has ended."""
        return not self.alive

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an uncaught exception as a failure of the process."""
        if not self.alive:
            return  # Tasks of a killed process are garbage-collected at an arbitrary time.
        error = context.get("exception")
        self.failures.append(f"{context.get('message')}: {type(error).__name__}: {error}")
        self.kernel.note(f"{self.name} unhandled {self.failures[-1]}")

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` in the next turn after the process receives a signal."""
        self.signals[sig] = (callback, args)

    # Sockets

    async def sock_connect(self, sock: SimSocket, address: Address) -> None:
        """Connect a socket.

        Raises:
            OSError: The connect failed.
        """
        done: asyncio.Future[None] = self.create_future()
        sock.connect(address, lambda error: self.wake(self._connected, done, error))
        await done

    def _connected(self, done: asyncio.Future[None], error: OSError | None) -> None:
        self.connection_changed = True
        _resolve_future(done, error)

    async def create_connection(
        self, factory: Callable[[], AnyProtocol], *, sock: SimSocket
    ) -> tuple[SimTransport, AnyProtocol]:
        """Return a transport and a protocol for a connected socket."""
        return await self._make_transport(factory, sock)

    async def connect_accepted_socket(
        self, factory: Callable[[], AnyProtocol], sock: SimSocket
    ) -> tuple[SimTransport, AnyProtocol]:
        """Return a transport and a protocol for an accepted socket."""
        return await self._make_transport(factory, sock)

    async def _make_transport(
        self, factory: Callable[[], AnyProtocol], sock: SimSocket
    ) -> tuple[SimTransport, AnyProtocol]:
        protocol = factory()
        transport = SimTransport(self, sock, protocol)
        started: asyncio.Future[None] = self.create_future()
        self.call_soon(protocol.connection_made, transport)
        self.call_soon(transport.begin)
        self.call_soon(_resolve_future, started, None)
        await started
        return transport, protocol

    def add_reader(self, fd: int, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` whenever a socket of this process is readable."""
        sock = self.network.socket_by_descriptor(self, fd)
        self.readers[fd] = (sock, lambda: callback(*args))
        sock.on_readable = lambda: self.wake(self._read, fd)
        if sock.readable():
            self.wake(self._read, fd)

    def remove_reader(self, fd: int) -> bool:
        """Stop watching a socket; returns whether it was watched."""
        reader = self.readers.pop(fd, None)
        if reader is not None:
            reader[0].on_readable = None
        return reader is not None

    def _read(self, fd: int) -> None:
        reader = self.readers.get(fd)
        if reader is None:
            return
        sock, callback = reader
        if sock.readable():
            callback()
            if fd in self.readers and sock.readable():  # Level-triggered, as epoll is by default.
                self.wake(self._read, fd)


def _resolve_future(future: asyncio.Future[None], error: OSError | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
