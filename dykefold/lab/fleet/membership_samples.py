"""Samples of the members' memberships during a scenario, and their plot."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

MIN_INTERVAL_S = 0.25  # Between two samples.
INTERVAL_PER_MEMBER_S = 0.005  # In a large fleet, so that sampling does not delay the rig.
ANSWER_TIMEOUT_S = 1.0  # A stopped member does not answer.
MAX_OPEN_CALLS = 40
# Dimensions of the plot in pixels.
PLOT_WIDTH = 900
ROW_HEIGHT = 6
LEFT_MARGIN = 60
TOP_MARGIN = 30

Address = tuple[str, int]


@dataclass(slots=True)
class MembershipSample:
    """One sample of all memberships.

    Attributes:
        at_s: Time of the sample in seconds since the load began.
        listening: Members that listen, according to the rig.
        live: Members that each answering member considers live.
        digests: Digest of the member states of each answering member.
    """

    at_s: float
    listening: frozenset[int]
    live: dict[int, frozenset[int]] = field(default_factory=dict)
    digests: dict[int, str] = field(default_factory=dict)

    def wrong_members(self, member: int) -> int | None:
        """Return the number of members whose state this one has wrong; None if it did not answer."""
        live = self.live.get(member)
        return None if live is None else len(live ^ self.listening)

    @property
    def matches(self) -> bool:
        """Whether all listening members answered, and consider exactly these live."""
        return self.live.keys() >= self.listening and all(
            self.live[member] == self.listening for member in self.listening
        )


class MembershipSampler:
    """Sampler of the memberships of all members.

    Args:
        addresses: Address of each member's membership API.
        listening_members: Function that returns the members that listen now.

    Attributes:
        samples: All samples, in order.
        datagrams: Latest datagram counters of each member.
    """

    def __init__(self, addresses: list[Address], listening_members: Callable[[], frozenset[int]]) -> None:
        self.addresses = addresses
        self.listening_members = listening_members
        self.samples: list[MembershipSample] = []
        self.datagrams: dict[int, dict[str, int]] = {}
        self.call_slots = asyncio.Semaphore(MAX_OPEN_CALLS)

    async def run(self) -> None:
        """Take samples until cancelled."""
        loop = asyncio.get_running_loop()
        interval_s = max(MIN_INTERVAL_S, INTERVAL_PER_MEMBER_S * len(self.addresses))
        while True:
            began_s = loop.time()
            sample = MembershipSample(began_s, self.listening_members())
            await asyncio.gather(*(self._sample_member(member, sample) for member in sample.listening))
            self.samples.append(sample)
            await asyncio.sleep(max(interval_s - (loop.time() - began_s), interval_s / 5))

    async def _sample_member(self, member: int, sample: MembershipSample) -> None:
        try:
            async with self.call_slots, asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await fetch_json(self.addresses[member], "/fleet/brief")
        except (OSError, TimeoutError, ValueError):
            return
        live_bits = int(answer["live"], 16)
        sample.live[member] = frozenset(n for n in range(len(self.addresses)) if live_bits >> n & 1)
        sample.digests[member] = answer["words"]
        self.datagrams[member] = answer["counts"]

    async def wait_until_settled(self, within_s: float) -> None:
        """Wait until a sample matches, for at most `within_s` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                first_sample = len(self.samples)
                while not any(sample.matches for sample in self.samples[first_sample + 1 :]):
                    await asyncio.sleep(MIN_INTERVAL_S)

    def make_times_relative(self, began_s: float) -> None:
        """Make the times of all samples relative to `began_s`."""
        for sample in self.samples:
            sample.at_s -= began_s

    def settled_s(self, from_s: float) -> float | None:
        """Return the seconds from a time until all later samples match; None if they do not."""
        settled_s = None
        for sample in self.samples:
            if sample.at_s < from_s:
                continue
            if not sample.matches:
                settled_s = None
            elif settled_s is None:
                settled_s = sample.at_s - from_s
        return settled_s


async def fetch_json(address: Address, path: str) -> Any:
    """Return the JSON body of an answer of a member's membership API.

    Raises:
        OSError: The member does not accept the connection.
        ValueError: The answer is not 200 or not JSON.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: view\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    finally:
        writer.close()
    if b" 200 " not in head.partition(b"\r\n")[0]:
        raise ValueError(
            f"membership API at {address[0]}:{address[1]} answered {head[:60]!r}, expected status 200"
        )
    return json.loads(body)


def samples_svg(
    samples: list[MembershipSample], members: int, faults: Sequence[tuple[float, float, str]]
) -> str:
    """Return an SVG plot of samples: a row for each member, darker the more members it has wrong.

    Args:
        samples: Samples in order.
        members: Number of members.
        faults: Begin and end in seconds, and name of each fault; drawn above the rows.
    """
    first_s = samples[0].at_s if samples else 0.0
    last_s = max((sample.at_s for sample in samples), default=1.0) + MIN_INTERVAL_S
    scale = PLOT_WIDTH / max(last_s - first_s, MIN_INTERVAL_S)
    bottom = TOP_MARGIN + members * ROW_HEIGHT

    def x(at_s: float) -> float:
        return LEFT_MARGIN + (at_s - first_s) * scale

    parts = []
    for sample, next_sample in zip(samples, [*samples[1:], None], strict=True):
        until_s = next_sample.at_s if next_sample is not None else last_s
        for member in range(members):
            wrong_count = sample.wrong_members(member)
            if member not in sample.listening:
                colour = "#ffffff"
            elif wrong_count is None:
                colour = "#b0b0b0"
            else:
                colour = (
                    "#cfe8cf" if not wrong_count else f"hsl(10,80%,{75 - round(50 * wrong_count / members)}%)"
                )
            parts.append(
                f'<rect x="{x(sample.at_s):.1f}" y="{TOP_MARGIN + member * ROW_HEIGHT}" '
                f'width="{(until_s - sample.at_s) * scale:.1f}" height="{ROW_HEIGHT - 1}" fill="{colour}"/>'
            )
    for begin_s, end_s, name in faults:
        parts.append(
            f'<rect x="{x(begin_s):.1f}" y="{TOP_MARGIN - 6}" '
            f'width="{(end_s - begin_s) * scale:.1f}" height="4"/>'
            f'<text x="{x(begin_s):.1f}" y="{TOP_MARGIN - 10}">{name}</text>'
        )
    for second in range(int(first_s), int(last_s) + 1):
        parts.append(f'<text x="{x(second):.1f}" y="{bottom + 14}">{second}</text>')
    parts.append(
        f'<text x="2" y="{bottom + 14}">seconds</text><text x="2" y="{TOP_MARGIN + 8}">member 0</text>'
    )
    size = f'width="{LEFT_MARGIN + PLOT_WIDTH + 20}" height="{bottom + 24}"'
    style = "<style>text{font:11px sans-serif}</style>"
    return f'<svg xmlns="http://www.w3.org/2000/svg" {size}>{style}{"".join(parts)}</svg>\n'
