"""An asyncio event loop of one virtual process.

What asyncio promises is kept: `call_soon` is first in, first out, and a callback runs whole. What it does not
promise is drawn: which of the descriptors that are ready comes first, which of the timers that are due at
one time, whether these two come before or after each other. As on uvloop the loop's own time is counted in
whole milliseconds and stands still within a turn, so that a timer may ring up to one millisecond early.
A turn takes time, by the number of its callbacks; a process that is paused takes none.
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

TURN_NS = 4_000  # Cost of a turn of the loop.
CALLBACK_NS = 9_000  # Mean cost of a callback; a request takes some ten of them.
LONG_TURN = 0.01  # Fraction of turns that take `LONG_TURN_MS`, as with a garbage collection.
LONG_EDGE = 0.2  # The same fraction for turns in which a connection is made or closed.
# Range of the duration of a long turn; events due meanwhile meet in the next turn.
LONG_TURN_MS = (2.0, 15.0)
PHASES = 3  # Timers, callbacks and I/O.

Result = TypeVar("Result")
AnyProtocol = TypeVar("AnyProtocol", bound=asyncio.Protocol)


class SimLoop:
    """The loop of the process `name`; `network` makes and connects its sockets.

    It has those methods of `asyncio.AbstractEventLoop` that the program calls, and no others.

    Args:
        kernel: Clock and event queue of the world.
        name: Name of the process.
        network: Network of the world.

    Attributes:
        host: Host of the process; several processes may share one.
        waiting_io: Callbacks of ready I/O, for the next turn.
        pauses_ns: Total nanoseconds of the pauses that faults have caused.
        stalled_ns: Total nanoseconds of long turns.
        free_at_ns: Time in nanoseconds at which the previous turn ends.
        turn_at_ns: Time in nanoseconds of the next turn; negative if none is scheduled.
        local_ns: Nanoseconds of the present turn that have passed.
        ms: Time of the loop in milliseconds.
        at_edge: Whether something has begun in this turn that a later turn completes.
        failures: Uncaught exceptions.
    """

    def __init__(self, kernel: Kernel, name: str, network: Network, host: str = "") -> None:
        """Make the loop of a process that starts now."""
        self.kernel = kernel
        self.name = name
        self.host = host or name
        self.network = network
        self.random: random.Random = stream(kernel.seed, "loop", name)
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[int, float, int, asyncio.TimerHandle]] = []
        self.waiting_io: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.readers: dict[int, tuple[SimSocket, Callable[[], object]]] = {}
        self.signals: dict[int, tuple[Callable[..., object], tuple[object, ...]]] = {}
        self.alive = True
        self.paused_until_ns = 0
        self.pauses_ns = 0
        self.free_at_ns = 0
        self.turn_at_ns = -1
        self.turn_number = 0
        self.local_ns = 0
        self.ms = kernel.now_ns // NS_PER_MS
        self.count = 0
        self.stalled_ns = 0
        self.in_turn = False
        self.at_edge = False
        self.failures: list[str] = []

    @property
    def for_asyncio(self) -> asyncio.AbstractEventLoop:
        """The loop, as the type that the program and asyncio ask for."""
        return cast("asyncio.AbstractEventLoop", self)

    # Turns

    def _plan(self, at_ns: int) -> None:
        if self.in_turn:
            return
        at_ns = max(at_ns, self.free_at_ns, self.paused_until_ns)
        if 0 <= self.turn_at_ns <= at_ns:
            return
        self.turn_at_ns = at_ns
        self.turn_number += 1
        self.kernel.at(at_ns, self._turn, self.turn_number)

    def _turn(self, number: int) -> None:
        if not self.alive or number != self.turn_number or self.turn_at_ns < 0:
            return
        if self.paused_until_ns > self.kernel.now_ns:
            self.turn_at_ns = -1
            self._plan(self.paused_until_ns)
            return
        self.turn_at_ns, self.in_turn = -1, True
        self.local_ns = TURN_NS
        self.ms = self.kernel.now_ns // NS_PER_MS
        events._set_running_loop(self.for_asyncio)
        try:
            phases = [self._run_timers, self._run_ready, self._run_io]
            start = self.random.randrange(PHASES)  # a loop is a circle: what an event meets first is random
            for phase in phases[start:] + phases[:start]:
                phase()
        finally:
            events._set_running_loop(None)
            self.in_turn = False
        if self.random.random() < (LONG_EDGE if self.at_edge else LONG_TURN):
            long_ns = int(self.random.uniform(*LONG_TURN_MS) * NS_PER_MS)
            self.local_ns += long_ns
            self.stalled_ns += long_ns
        self.free_at_ns = self.kernel.now_ns + self.local_ns
        self.local_ns = 0
        self.at_edge = False
        self._next()

    def _next(self) -> None:
        if self.ready or self.waiting_io:
            self._plan(self.free_at_ns)
        elif self.timers:
            self._plan(self.timers[0][0] * NS_PER_MS)

    def _spend(self) -> None:
        self.kernel.steps += 1
        self.local_ns += int(CALLBACK_NS * 2 * self.random.random()) + 1

    def _run_timers(self) -> None:
        timers = self.timers
        while timers and timers[0][0] <= self.ms:
            handle = heapq.heappop(timers)[3]
            if not handle.cancelled() and self.alive:
                self._spend()
                handle._run()

    def _run_ready(self) -> None:
        for _ in range(len(self.ready)):
            handle = self.ready.popleft()
            if not handle.cancelled() and self.alive:
                self._spend()
                handle._run()

    def _run_io(self) -> None:
        waiting, self.waiting_io = self.waiting_io, []
        if len(waiting) > 1:
            self.random.shuffle(waiting)
        for act, arguments in waiting:
            if self.alive:
                self._spend()
                try:
                    act(*arguments)
                except Exception as error:
                    self.call_exception_handler({"message": "in I/O", "exception": error})

    def wake(self, act: Callable[..., object], *arguments: object) -> None:
        """Have something called in the next turn, in any order with what else is ready."""
        if self.alive:
            self.waiting_io.append((act, arguments))
            self._plan(self.kernel.now_ns)

    def pause(self, duration_ns: int) -> None:
        """Stop the process for so many nanoseconds, as SIGSTOP and SIGCONT do."""
        before = max(self.paused_until_ns, self.kernel.now_ns)
        self.paused_until_ns = max(before, self.kernel.now_ns + duration_ns)
        self.pauses_ns += self.paused_until_ns - before

    @property
    def paused_ns(self) -> int:
        """Nanoseconds for which it has stood still until now, in all."""
        left_ns = max(self.paused_until_ns - self.kernel.now_ns, 0)
        return self.pauses_ns - left_ns + self.stalled_ns

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if number in self.signals:
            act, arguments = self.signals[number]
            self.wake(act, *arguments)

    def die(self) -> None:
        """End the process: nothing of it runs any more."""
        self.alive = False
        self.ready.clear()
        self.timers.clear()
        self.waiting_io.clear()
        self.readers.clear()

    # What asyncio asks of a loop

    def call_soon(
        self, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.Handle:
        """Have something called in the next turn, first in, first out."""
        handle = asyncio.Handle(callback, args, self.for_asyncio, context)
        self.ready.append(handle)
        self._plan(self.kernel.now_ns)
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Have something called after so many seconds, in whole milliseconds."""
        return self._start_timer(self.ms + max(round(delay * 1000), 0), callback, args, context)

    def call_at(
        self, when: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Have something called at a time of the loop, in seconds."""
        return self._start_timer(max(round(when * 1000), self.ms), callback, args, context)

    def _start_timer(
        self, due_ms: int, callback: Callable[..., object], args: tuple[object, ...], context: Context | None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(due_ms / 1000, callback, args, self.for_asyncio, context)
        self.count += 1
        heapq.heappush(self.timers, (due_ms, self.random.random(), self.count, handle))
        self._plan(due_ms * NS_PER_MS)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """It is dropped when its time comes: the longest timer of the program is of seconds."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return self.ms / 1000

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
        """Return whether a turn is under way."""
        return self.in_turn

    def is_closed(self) -> bool:
        """Return whether the process has ended."""
        return not self.alive

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an exception that nobody caught, as a failure of the process."""
        if not self.alive:
            return  # what a killed process had begun is collected some time
        error = context.get("exception")
        self.failures.append(f"{context.get('message')}: {type(error).__name__}: {error}")
        self.kernel.note(f"{self.name} unhandled {self.failures[-1]}")

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: object) -> None:
        """Have something called in a turn after the process gets a signal."""
        self.signals[sig] = (callback, args)

    # Sockets

    async def sock_connect(self, sock: SimSocket, address: Address) -> None:
        """Connect a socket; OSError if it fails."""
        done: asyncio.Future[None] = self.create_future()
        sock.connect(address, lambda error: self.wake(self._connected, done, error))
        await done

    def _connected(self, done: asyncio.Future[None], error: OSError | None) -> None:
        self.at_edge = True
        _settle(done, error)

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
        made: asyncio.Future[None] = self.create_future()
        self.call_soon(protocol.connection_made, transport)
        self.call_soon(transport.begin)
        self.call_soon(_settle, made, None)
        await made
        return transport, protocol

    def add_reader(self, fd: int, callback: Callable[..., object], *args: object) -> None:
        """Have something called whenever a socket of this process is readable."""
        sock = self.network.by_number(self, fd)
        self.readers[fd] = (sock, lambda: callback(*args))
        sock.on_readable = lambda: self.wake(self._read, fd)
        if sock.readable():
            self.wake(self._read, fd)

    def remove_reader(self, fd: int) -> bool:
        """Stop watching a socket; returns whether it was watched."""
        found = self.readers.pop(fd, None)
        if found is not None:
            found[0].on_readable = None
        return found is not None

    def _read(self, fd: int) -> None:
        found = self.readers.get(fd)
        if found is None:
            return
        sock, callback = found
        if sock.readable():
            callback()
            if fd in self.readers and sock.readable():  # as a poll reports again what is still so
                self.wake(self._read, fd)


def _settle(future: asyncio.Future[None], error: OSError | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
