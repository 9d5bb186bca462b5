"""What a soak writes down, for the oracle to judge. Times are microseconds of the lab's one steady clock."""

from __future__ import annotations

from dataclasses import dataclass, field

SITE_VIDEO, JOB_SHEET, BOOKING = "site-video", "job-sheet", "booking"


@dataclass(slots=True)
class SoakCall:
    """One request as its client saw it."""

    id: str
    class_name: str
    group: int
    director: int
    sent_us: int  # when its last byte was written
    timeout_us: int
    fresh: bool  # the first on its connection
    left_us: int = 0  # when its client cancelled or closed; 0: it waited
    ended_us: int = 0  # when its answer, or its connection's end, was seen; 0: never
    answers: int = 0
    verdict: str = ""
    tag: str = ""
    again: bool = False  # it was sent a second time, as it had crossed a close


@dataclass(slots=True)
class ClientConnection:
    """One connection to a director as its client saw it. `ended_us`: 0 while it is open."""

    director: int
    habit: str
    opened_us: int
    ended_us: int = 0
    calls: list[SoakCall] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class DirectorDrained:
    """The operators drained a director: when they called, and when they called its end."""

    director: int
    called_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class SoakTermination:
    """A director was told to end. `killed`: it still ran at the platform's SIGKILL, at `ended_us`."""

    director: int
    told_us: int
    ended_us: int
    killed: bool
    successor: bool = False  # another process of it serves meanwhile


@dataclass(frozen=True, slots=True)
class Sent:
    """One attempt as the cache, parent or origin saw it that it came to."""

    at_us: int
    server: str
    request: str
    source: str | None
    told_us: int  # `w`
    accept_us: int


@dataclass(frozen=True, slots=True)
class Asked:
    """Work that came to a server, by request or fill."""

    at_us: int
    server: str
    work_us: float


@dataclass(frozen=True, slots=True)
class Unready:
    """A server was not to be sent to by one director (all: -1) from the time it was told on."""

    server: str
    director: int
    told_us: int
    until_us: int  # when it was told that it may be sent to again, or that is no longer known


@dataclass(frozen=True, slots=True)
class SoakPurge:
    """A group was purged, and when one director had been told at the latest."""

    group: int
    at_us: int
    director: int
    told_us: int


@dataclass(frozen=True, slots=True)
class Started:
    """A server started cold, and when the directors had been told at the latest."""

    server: str
    at_us: int
    told_us: int


@dataclass(frozen=True, slots=True)
class Down:
    """A director was killed, and up again."""

    director: int
    from_us: int
    until_us: int


@dataclass(slots=True)
class SoakRecords:
    """Everything of one run."""

    calls: dict[str, SoakCall] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    given: dict[str, list[tuple[str, int, int]]] = field(default_factory=dict)  # request: tag, dated, sent
    ran: list[str] = field(default_factory=list)
    unready: list[Unready] = field(default_factory=list)
    purged: list[SoakPurge] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)
    down: list[Down] = field(default_factory=list)
    connections: list[ClientConnection] = field(default_factory=list)
    drained: list[DirectorDrained] = field(default_factory=list)
    terminations: list[SoakTermination] = field(default_factory=list)
    lab_errors: list[str] = field(default_factory=list)  # what the lab's own tasks raised
    stopped: list[Down] = field(default_factory=list)  # SIGSTOP
    cut: list[tuple[int, int]] = field(default_factory=list)  # director, when: ended in the middle of a call
    unaccepted: list[Down] = field(default_factory=list)  # no connection could be accepted
    late: list[tuple[int, int]] = field(default_factory=list)  # of the lab's own timers: when, by how much
    counters: dict[str, int] = field(default_factory=dict)  # of all directors, as they printed them
    logged: list[str] = field(default_factory=list)  # violations and errors in the directors' logs
    ended: list[str] = field(default_factory=list)  # directors that ended wrongly, or were not ready in time
    met: dict[str, int] = field(default_factory=dict)  # faults of system calls that directors met
