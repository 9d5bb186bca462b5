"""The records of a soak, for the oracle. Times are microseconds of the lab's single monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field

SITE_VIDEO, JOB_SHEET, BOOKING = "site-video", "job-sheet", "booking"


@dataclass(slots=True)
class SoakCall:
    """One request as its client observed it."""

    id: str
    class_name: str
    group: int
    director: int
    sent_us: int  # when the last byte of the request was written
    timeout_us: int
    fresh: bool  # this is the first request on its connection
    left_us: int = 0  # when the client cancelled or closed; 0: the client waited
    ended_us: int = 0  # when the answer or the end of the connection was received; 0: never
    answers: int = 0
    verdict: str = ""
    tag: str = ""
    again: bool = False  # sent a second time, because the first time it crossed a close of the connection


@dataclass(slots=True)
class ClientConnection:
    """One connection to a director as its client observed it. `ended_us` is 0 while it is open."""

    director: int
    habit: str
    opened_us: int
    ended_us: int = 0
    calls: list[SoakCall] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class DirectorDrain:
    """A drain of a director by the operators: the times of the calls that began and ended it."""

    director: int
    called_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class SoakTermination:
    """A director was signalled to end. `killed`: it still ran at the platform's SIGKILL, at `ended_us`."""

    director: int
    told_us: int
    ended_us: int
    killed: bool
    successor: bool = False  # another process of the same director serves in the meantime


@dataclass(frozen=True, slots=True)
class Sent:
    """One attempt as observed by the cache, parent or origin that received it."""

    at_us: int
    server: str
    request: str
    source: str | None
    told_us: int  # the time left that the attempt states, field `w`
    accept_us: int


@dataclass(frozen=True, slots=True)
class ServerWork:
    """Work that a server received, by request or fill."""

    at_us: int
    server: str
    work_us: float


@dataclass(frozen=True, slots=True)
class Unready:
    """A server that one director (-1: all) must not use after it has been notified, at `told_us`."""

    server: str
    director: int
    told_us: int
    until_us: int  # when the director was notified that the server is usable, or lost that state


@dataclass(frozen=True, slots=True)
class SoakPurge:
    """A purge of a group, and when one director had been notified at the latest."""

    group: int
    at_us: int
    director: int
    told_us: int


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A cold start of a server, and when the directors had been notified at the latest."""

    server: str
    at_us: int
    told_us: int


@dataclass(frozen=True, slots=True)
class DirectorOutage:
    """A time during which a director was killed, stopped or unable to accept."""

    director: int
    from_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class CutCall:
    """A director closed a connection in the middle of a call. `fresh`: the first call on its connection."""

    director: int
    at_us: int
    fresh: bool


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """The largest anonymous memory of one process, and what it was told that it may use, in bytes."""

    process: str
    peak_bytes: int
    told_bytes: int


@dataclass(slots=True)
class SoakRecords:
    """All records of one run."""

    calls: dict[str, SoakCall] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    asked: list[ServerWork] = field(default_factory=list)
    # By request: the tag of each answer sent, the date of the copy and the time of sending.
    given: dict[str, list[tuple[str, int, int]]] = field(default_factory=dict)
    ran: list[str] = field(default_factory=list)
    unready: list[Unready] = field(default_factory=list)
    purged: list[SoakPurge] = field(default_factory=list)
    started: list[ColdStart] = field(default_factory=list)
    down: list[DirectorOutage] = field(default_factory=list)
    connections: list[ClientConnection] = field(default_factory=list)
    drained: list[DirectorDrain] = field(default_factory=list)
    terminations: list[SoakTermination] = field(default_factory=list)
    lab_errors: list[str] = field(default_factory=list)  # exceptions of the lab's own tasks
    stopped: list[DirectorOutage] = field(default_factory=list)  # by SIGSTOP
    cut: list[CutCall] = field(default_factory=list)
    unaccepted: list[DirectorOutage] = field(default_factory=list)  # the director could accept no connection
    crowded: list[DirectorOutage] = field(default_factory=list)  # a crowd may have taken all descriptors
    late: list[tuple[int, int]] = field(default_factory=list)  # time and delay of the lab's own late timers
    counters: dict[str, int] = field(default_factory=dict)  # sums over all directors, as printed by them
    logged: list[str] = field(default_factory=list)  # violations and errors in the directors' logs
    ended: list[str] = field(default_factory=list)  # messages: a wrong exit, not ready in time, and the like
    memory: list[ProcessMemory] = field(default_factory=list)
    met: dict[str, int] = field(default_factory=dict)  # system call faults that directors met, by name
