"""What each member holds of the fleet, asked again and again while a scenario plays."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

EVERY_S = 0.25  # between two rounds of asking ...
MEMBER_S = 0.005  # ... or so much for each member, lest the rig be late by its own asking
ANSWER_S = 1.0  # for one answer: a member that stands still gives none
AT_ONCE = 40  # calls of the rig that wait for answers
PLOT_WIDTH, ROW_HEIGHT, LEFT, TOP = 900, 6, 60, 30  # of the plot, in its units

Address = tuple[str, int]


@dataclass(slots=True)
class Look:
    """One round.

    Attributes:
        at_s: since the load began; negative before it.
        up: members that listen, as the rig knows.
        live: by member that answered, whom it counts as live.
        words: by member that answered, the sum of the words that it holds.
    """

    at_s: float
    up: frozenset[int]
    live: dict[int, frozenset[int]] = field(default_factory=dict)
    words: dict[int, str] = field(default_factory=dict)

    def wrong(self, member: int) -> int | None:
        """How many others this one has wrong; None if it did not answer."""
        live = self.live.get(member)
        return None if live is None else len(live ^ self.up)

    @property
    def right(self) -> bool:
        """All members that listen answered, and count exactly these as live."""
        return self.live.keys() >= self.up and all(self.live[member] == self.up for member in self.up)


class Watch:
    """Looks at all members' views until it is cancelled."""

    def __init__(self, addresses: list[Address], up: Callable[[], frozenset[int]]) -> None:
        self.addresses, self.up = addresses, up
        self.looks: list[Look] = []
        self.datagrams: dict[int, dict[str, int]] = {}  # by member, its latest counts
        self.turns = asyncio.Semaphore(AT_ONCE)

    async def watch(self) -> None:
        loop = asyncio.get_running_loop()
        every_s = max(EVERY_S, MEMBER_S * len(self.addresses))
        while True:
            began_s = loop.time()
            look = Look(began_s, self.up())
            await asyncio.gather(*(self._ask(member, look) for member in look.up))
            self.looks.append(look)
            await asyncio.sleep(max(every_s - (loop.time() - began_s), every_s / 5))

    async def _ask(self, member: int, look: Look) -> None:
        try:
            async with self.turns, asyncio.timeout(ANSWER_S):
                told = await ask(self.addresses[member], "/fleet/brief")
        except (OSError, TimeoutError, ValueError):
            return
        bits = int(told["live"], 16)
        look.live[member] = frozenset(n for n in range(len(self.addresses)) if bits >> n & 1)
        look.words[member] = told["words"]
        self.datagrams[member] = told["counts"]

    async def settles(self, within_s: float) -> None:
        """Wait until all views are right, for so long at the most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                since = len(self.looks)
                while not any(look.right for look in self.looks[since + 1 :]):
                    await asyncio.sleep(EVERY_S)

    def begin_at(self, began_s: float) -> None:
        """Tell all times from here on."""
        for look in self.looks:
            look.at_s -= began_s

    def settled_s(self, from_s: float) -> float | None:
        """How long after a time all views came to be right and stayed so; None if they did not."""
        settled = None
        for look in self.looks:
            if look.at_s < from_s:
                continue
            if not look.right:
                settled = None
            elif settled is None:
                settled = look.at_s - from_s
        return settled


async def ask(address: Address, path: str) -> Any:
    """What a member tells at its listener for the view. Raises OSError, ValueError where it tells nothing."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: view\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    finally:
        writer.close()
    if b" 200 " not in head.partition(b"\r\n")[0]:
        raise ValueError(f"{address[0]}:{address[1]} answered {head[:60]!r}")
    return json.loads(body)


def plotted(looks: list[Look], members: int, faults: Sequence[tuple[float, float, str]]) -> str:
    """The views over time as SVG: a row to a member, darker the more others it has wrong; faults above.

    Args:
        faults: from when, until when, and which.
    """
    first = looks[0].at_s if looks else 0.0
    last = max((look.at_s for look in looks), default=1.0) + EVERY_S
    scale = PLOT_WIDTH / max(last - first, EVERY_S)
    bottom = TOP + members * ROW_HEIGHT

    def x(at_s: float) -> float:
        return LEFT + (at_s - first) * scale

    parts = []
    for look, following in zip(looks, [*looks[1:], None], strict=True):
        until = following.at_s if following is not None else last
        for member in range(members):
            wrong = look.wrong(member)
            if member not in look.up:
                colour = "#ffffff"
            elif wrong is None:
                colour = "#b0b0b0"
            else:
                colour = "#cfe8cf" if not wrong else f"hsl(10,80%,{75 - round(50 * wrong / members)}%)"
            parts.append(
                f'<rect x="{x(look.at_s):.1f}" y="{TOP + member * ROW_HEIGHT}" '
                f'width="{(until - look.at_s) * scale:.1f}" height="{ROW_HEIGHT - 1}" fill="{colour}"/>'
            )
    for begin, end, name in faults:
        parts.append(
            f'<rect x="{x(begin):.1f}" y="{TOP - 6}" width="{(end - begin) * scale:.1f}" height="4"/>'
            f'<text x="{x(begin):.1f}" y="{TOP - 10}">{name}</text>'
        )
    for second in range(int(first), int(last) + 1):
        parts.append(f'<text x="{x(second):.1f}" y="{bottom + 14}">{second}</text>')
    parts.append(f'<text x="2" y="{bottom + 14}">seconds</text><text x="2" y="{TOP + 8}">member 0</text>')
    size = f'width="{LEFT + PLOT_WIDTH + 20}" height="{bottom + 24}"'
    style = "<style>text{font:11px sans-serif}</style>"
    return f'<svg xmlns="http://www.w3.org/2000/svg" {size}>{style}{"".join(parts)}</svg>\n'
