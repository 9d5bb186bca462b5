"""The rules, judged from what passed on the emulators' and clients' sockets. Records in, findings out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SLACK_US = 50_000  # what each time limit is longer by on sockets
DRAIN_US, PURGE_US = 500_000, 1_000_000
MOST = 100  # findings kept of one rule


@dataclass(slots=True)
class Taken:
    """One request as its client saw it."""

    id: str
    tenant: str
    group: int
    write: bool
    sent_us: int
    answers: int = 0
    left: bool = False  # the client stopped waiting or cut the connection
    verdict: str = ""
    tag: str = ""
    class_name: str = ""
    site: str = ""
    director: str = ""
    again: bool = False  # a client's retry
    ended_us: int = 0  # when the client had its answer, or gave up


@dataclass(frozen=True, slots=True)
class RecordedSend:
    """One attempt as the machine that it came to saw it."""

    at_us: int
    member: str
    id: str
    source: str | None


@dataclass(frozen=True, slots=True)
class Given:
    """A copy that a machine answered with."""

    id: str
    tag: str
    dated_us: int
    sent_us: int  # when the attempt came to it


@dataclass(frozen=True, slots=True)
class Earned:
    """One arrival with all its tries: what it was worth, and what it earned."""

    at_us: int  # intended
    tenant: str
    class_name: str
    site: str
    worth: float
    earned: float


@dataclass(slots=True)
class Records:
    taken: dict[str, Taken] = field(default_factory=dict)
    sends: list[RecordedSend] = field(default_factory=list)
    given: list[Given] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)  # writes, by request, as often as they ran
    drained: list[tuple[str, int, int]] = field(default_factory=list)  # member, told, lifted (or 0)
    purged: list[tuple[int, int, int]] = field(default_factory=list)  # group, when, told
    fallen: list[tuple[str, int]] = field(default_factory=list)
    crashed: list[str] = field(default_factory=list)
    earned: list[Earned] = field(default_factory=list)


@dataclass(slots=True)
class Findings:
    """Broken rules, each with the record that proves it, and how much was looked at."""

    broken: list[dict[str, object]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    audited: int = 0

    def add(self, rule: str, **proof: object) -> None:
        self.counts[rule] = self.counts.get(rule, 0) + 1
        if self.counts[rule] <= MOST:
            self.broken.append({"rule": rule, **proof})


def _answers(records: Records, out: Findings) -> None:
    tags: dict[str, set[str]] = {}
    for given in records.given:
        tags.setdefault(given.id, set()).add(given.tag)
    for taken in records.taken.values():
        if taken.answers > 1:
            out.add("one answer", request=taken.id, answers=taken.answers)
        if not taken.answers and not taken.left:
            out.add("no answer", request=taken.id, tenant=taken.tenant)
        if taken.verdict == "served" and taken.tag not in tags.get(taken.id, ()):
            out.add("made by no cache", request=taken.id, tag=taken.tag)


def _once(records: Records, out: Findings) -> None:
    seen: set[str] = set()
    for request in records.ran:
        if request in seen:
            out.add("ran twice", request=request)
        seen.add(request)


def _drains(records: Records, out: Findings) -> None:
    late: dict[str, list[tuple[int, int]]] = {}
    for member, told, lifted in records.drained:
        late.setdefault(member, []).append((told + DRAIN_US + SLACK_US, lifted))
    for send in records.sends:
        for name, role in ((send.member, "request"), (send.source, "source")):
            for begin, lifted in late.get(name or "", ()):
                if send.at_us > begin and (not lifted or send.at_us < lifted):
                    out.add("drain", request=send.id, member=name, role=role, late_us=send.at_us - begin)


def _purges(records: Records, out: Findings) -> None:
    by_group: dict[int, list[tuple[int, int]]] = {}
    for group, when, told in records.purged:
        by_group.setdefault(group, []).append((when, told))
    for given in records.given:
        taken = records.taken.get(given.id)
        for when, told in by_group.get(taken.group, ()) if taken else ():
            if given.sent_us > told + PURGE_US + SLACK_US and given.dated_us < when:
                out.add("purge", request=given.id, older_us=when - given.dated_us)


def audit(records: Records) -> Findings:
    """Every rule over all records."""
    out = Findings(audited=len(records.taken))
    for check in (_answers, _once, _drains, _purges):
        check(records, out)
    for member, at in records.fallen:
        out.add("pushed over", member=member, at_us=at)
    for name in records.crashed:
        out.add("director ended", director=name)
    return out


def strays(records: Records, homes: Mapping[str, Iterable[str]], seats: Mapping[str, str]) -> dict[str, int]:
    """Attempts of each tenant at boxes of cells that are none of its own."""
    own = {tenant: set(cells) for tenant, cells in homes.items()}
    out: dict[str, int] = {}
    for send in records.sends:
        taken, cell = records.taken.get(send.id), seats.get(send.member)
        if taken is not None and cell is not None and cell not in own.get(taken.tenant, ()):
            out[taken.tenant] = out.get(taken.tenant, 0) + 1
    return out
