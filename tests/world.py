"""A small hand-held world for driving the module alone."""

from __future__ import annotations

from dataclasses import replace

from onyxwick import Router
from onyxwick import interface as i

S = 1_000_000
CHUNK = i.RequestClass("chunk", i.Repeat.SAFE, 500_000, 6 * S, aim_stretch=1.6, worth=2.0, segmented=True)
THUMB = i.RequestClass("thumb", i.Repeat.SAFE, 300_000, 3 * S, aim_stretch=2.0, lifetime_us=8 * S)
SAVE = i.RequestClass("save", i.Repeat.UNSAFE, 800_000, 3 * S, worth=3.0, write=True)
HOLD = i.RequestClass("hold", i.Repeat.KEYED, 800_000, 3 * S, worth=3.0, write=True, window_us=2 * S)
RULES = i.Rules(
    answer_slack_us=8_000,
    drain_grace_us=S,
    cold_start=0.2,
    cold_us=16 * S,
    overload_multiple=3.0,
    overload_window_us=2 * S,
    parent_cold_start=0.06,
    parent_cold_us=20 * S,
    parent_overload_multiple=2.0,
    purge_grace_us=300_000,
    purge_settles_us=6 * S,
)
SETTINGS = i.Settings(
    zone="edge-1",
    classes=(CHUNK, THUMB, SAVE, HOLD),
    rules=RULES,
    limits=i.Limits(attempts=6, cancel=True),
    parent_kind="parent",
    origin_kind="origin",
    routers=3,
    routers_in_zone=1,
    tick_us=2_000,
    joins=True,
    answers_tell="all",
    marks_repeats=True,
)


def member(
    address: str, kind: str = "box", zone: str = "edge-1", since: int = 0, weight: float = 6.0
) -> i.Member:
    return i.Member(address, zone, kind, 0, i.State.READY, weight, since)


CACHES = tuple(member(f"c{n}") for n in range(3))
PARENTS = tuple(member(f"p{n}", "parent", "hub", weight=20.0) for n in range(2))
ORIGIN = member("origin", "origin", "hub", weight=20.0)
ALL = (*CACHES, *PARENTS, ORIGIN)


class World:
    """A router, a clock and a count of requests; every action since the last call is returned."""

    def __init__(
        self, settings: i.Settings = SETTINGS, members: tuple[i.Member, ...] = ALL, age_us: int = 0
    ) -> None:
        self.now = 100 * S
        self.router = Router(settings, 7, self.now)
        self.asked = 0
        self.members(i.ListKind.CACHED, *members)
        self.pass_time(age_us)

    def give(self, *events: i.Event) -> list[i.Action]:
        return self.router.handle(self.now, list(events))

    def pass_time(self, us: int) -> list[i.Action]:
        """Let time pass in steps of 100 ms, with the timer fired at each."""
        out: list[i.Action] = []
        end = self.now + us
        while self.now < end:
            self.now = min(end, self.now + 100_000)
            out += self.give(i.TimerFired("due"))
        return out

    def members(self, kind: i.ListKind, *members: i.Member) -> list[i.Action]:
        return self.give(i.MembersChanged(kind, members))

    def change(self, m: i.Member, state: i.State, since: int | None = None) -> list[i.Action]:
        return self.members(
            i.ListKind.CHANGE, replace(m, state=state, since_us=m.since_us if since is None else since)
        )

    def ask(
        self,
        kind: str = "chunk",
        name: str = "o1",
        part: int = 0,
        group: int = 1,
        left: int = 3 * S,
        repeat: bool = False,
    ) -> list[i.Action]:
        self.asked += 1
        return self.give(
            i.RequestArrived(f"r{self.asked}", kind, name, left, group=group, part=part, repeat=repeat)
        )

    def end(
        self,
        status: i.Status,
        request: str | None = None,
        attempt: int = 0,
        member: str = "c0",
        latency: int = 50_000,
        detail: i.Detail = i.Detail.NONE,
        final: bool | None = None,
    ) -> list[i.Action]:
        done = status is i.Status.OK if final is None else final
        return self.give(
            i.AttemptEnded(request or f"r{self.asked}", attempt, member, status, latency, done, detail)
        )


def sent(actions: list[i.Action]) -> list[i.Attempt | i.Fetch]:
    return [a for a in actions if isinstance(a, i.Attempt | i.Fetch)]


def fetched(actions: list[i.Action]) -> i.Fetch:
    (only,) = [a for a in actions if isinstance(a, i.Fetch)]
    return only


def finals(actions: list[i.Action]) -> list[i.Fail | i.Refuse]:
    return [a for a in actions if isinstance(a, i.Fail | i.Refuse)]
