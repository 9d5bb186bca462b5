"""Attempts over sockets: connections to caches, parents and the origin, and how attempts on them end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache

from onyxwick import interface as i
from onyxwick import logs
from onyxwick.core.clock import steady_us
from onyxwick.core.members import Members
from onyxwick.core.model import Order, Outcome
from onyxwick.core.reasons import ConnectionEnd
from onyxwick.counters import Counters
from onyxwick.net import errors, resp
from onyxwick.net.buffer import unread
from onyxwick.net.outbox import Outbox, Parcel, Progress, Tally

log = logs.get()
LINKS_LEAST, LINKS_MOST = 2, 8  # connections to one member: one spoilt answer takes all others on its own
LINKS_OVER = 8  # links over their bound at most, where those in the way are about to close
RECENT = 128  # ids answered on one connection that are remembered
STUCK_S = (
    0.6  # an answer that has begun and brings nothing for so long stops short: its connection is of no use
)
SWEEP_S = 0.2
LOCAL_TROUBLE_S = 2.0  # a connect that fails for want of something on this machine is tried again so long
LOCAL_RETRY_S, LOCAL_RETRY_MOST_S = 0.01, 0.1  # waits between these tries, the first and the longest
SPOILED = 256  # given-up ids on one connection after which it takes no new ones
IDLE_S = 10.0  # under the time after which the other side closes: no send crosses its close
STALLED_S = 3.0  # a write that moves nothing for so long means that the machine is gone
COMMAND_BYTES = 256  # of a request without its body, about
WAKE_MOST = 32_768  # bytes waited for at once, well under what a socket takes in unread
DETAILS = {
    "HIT": i.Detail.HIT,
    "MISS": i.Detail.FILLED,
    "MISS_ORIGIN": i.Detail.FILLED_FROM_ORIGIN,
    "COLLAPSED": i.Detail.JOINED,
    "STALE": i.Detail.STALE,
    "UP_BUSY": i.Detail.SOURCE_REFUSED,
    "UP_DOWN": i.Detail.SOURCE_LOST,
    "UP_MISS": i.Detail.SOURCE_LACKS,
    "NO_FILL": i.Detail.NO_FILL_SLOT,
    "ORIGIN_ERR": i.Detail.ORIGIN_FAILED,
}
ENDS = {
    b"data": i.Status.OK,
    b"unchanged": i.Status.OK,
    b"absent": i.Status.MISS,
    b"full": i.Status.FULL,
    b"failed": i.Status.ERROR,
    b"moot": i.Status.NOT_SENT,
}
HINTS = (
    (i.FillFlag.JOIN, "share"),
    (i.FillFlag.HELD_ONLY, "peek"),
    (i.FillFlag.PARENT_KEEPS_NONE, "pass"),
    (i.FillFlag.RENEW, "swr"),
)


@cache
def _hints(flags: i.FillFlag) -> str:
    return "+".join(word for flag, word in HINTS if flag in flags)


def request_bytes(order: Order) -> bytes:
    """The command that asks for an attempt, with the time that is left at this moment."""
    request = order.request
    out = {
        "c": request.class_name,
        "k": request.object,
        "p": str(request.part),
        "w": str(max(1, order.left_us() // 1000)),
    }
    if order.source is not None:
        out["parent"] = order.source
    if order.rank:
        out["shelf"] = str(order.rank)
    if order.max_age_us:
        # Never 0 by rounding: that would ask for the class's fresh time, and let a purged copy pass.
        out["accept"] = str(max(1, order.max_age_us // 1000))
    if order.flags:
        out["hints"] = _hints(order.flags)
    if request.held_tag:
        out["got"] = request.held_tag
    if request.key:
        out["i"] = request.key
    fields = ",".join([f"{name}={value}" for name, value in out.items()])
    return resp.command(b"REQ", request.id.encode(), fields.encode(), request.body)


def read_outcome(words: list[bytes], report_names: tuple[str, ...]) -> Outcome:
    """The outcome that one answer `ID WORD FIELDS BODY` tells of; RespError where it is none."""
    if len(words) != 4 or words[1] not in ENDS:
        raise resp.RespError(f"no answer: {[w[:32] for w in words[:2]]!r}")
    _, word, text, body = words
    told = resp.fields(text)
    try:
        waited = int(float(told.get("first") or 0) * 1000)
        load = dict(pair.partition(":")[::2] for pair in told.get("load", "").split(";") if pair)
        report = tuple(float(load.get(name) or 0) for name in report_names) if load else ()
        dated = int(told.get("dated") or 0) * 1000
    except (ValueError, OverflowError):
        raise resp.RespError(f"bad fields {text[:64]!r}") from None
    return Outcome(
        ENDS[word],
        DETAILS.get(told.get("note", ""), i.Detail.NONE),
        waited,
        report,
        body,
        told.get("digest", ""),
        word == b"unchanged",
        dated,
    )


@dataclass(slots=True, eq=False)
class Call:
    """One attempt on a link."""

    id: bytes
    parcel: Parcel
    result: asyncio.Future[Outcome]
    sent_at: float
    tag: str  # of the client's copy, where it was named: `unchanged` with that tag may be the answer
    alone: bool  # must not run twice: another's spoilt answer shall not take it along

    def settle(self, outcome: Outcome) -> None:
        if not self.result.done():
            self.result.set_result(outcome)


class Link:
    """One connection to one member, from the first SYN to its close."""

    def __init__(self, caches: Caches, member: str, address: tuple[str, int]) -> None:
        self.caches, self.member, self.address = caches, member, address
        self.calls: dict[bytes, Call] = {}
        self.spoiled: set[bytes] = set()  # given up here: a late answer must not pass for a later attempt's
        self.recent: dict[
            bytes, None
        ] = {}  # answered here: a second copy must not pass for a later attempt's
        self.parser = resp.Parser()
        self.unread, self.moved_at = (
            0,
            0.0,
        )  # of an answer that has begun: what waits in the socket, and since when
        self.half_since = 0.0  # when the answer that has come in part began, or 0
        self.up = self.retired = self.closed = False
        self.kept_back = False  # by this machine: its last connect failed for want of something here
        self.heard_at = self.used_at = time.monotonic()
        self.sock: socket.socket | None = None
        self.outbox = Outbox(None, caches.tally)
        self.end: ConnectionEnd | None = None  # why it was ended here; None: the other side's close
        self.task = asyncio.get_running_loop().create_task(self._run())

    def drop(self, reason: ConnectionEnd) -> None:
        """Close it; from now on it takes nothing new."""
        self.retired, self.end = True, self.end or reason
        self.task.cancel()

    def takes(self, request_id: bytes) -> bool:
        if self.retired or len(self.spoiled) >= SPOILED or any(call.alone for call in self.calls.values()):
            return False
        return not (request_id in self.calls or request_id in self.spoiled or request_id in self.recent)

    def call(self, order: Order) -> Call:
        request_id, now = order.request.id.encode(), time.monotonic()
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        call = Call(request_id, Parcel(b""), future, now, order.request.held_tag, order.alone)
        call.parcel = Parcel(
            b"",
            lambda: order.left_us() > 0 and order.is_still_valid(),
            lambda: self._dropped(call),
            render=lambda: request_bytes(order),
            size=COMMAND_BYTES + len(order.request.body),
            begun=lambda: order.begun(order),
        )
        self.calls[request_id] = call
        self.used_at = now
        self.outbox.post(call.parcel)
        return call

    def _dropped(self, call: Call) -> None:
        self.calls.pop(call.id, None)
        call.settle(Outcome(i.Status.NOT_SENT))

    def expire(self, call: Call) -> None:
        if not call.result.done():
            if self.half_since and time.monotonic() - self.half_since > STUCK_S:
                self.retired = True  # an answer that comes without end holds up all behind it
            call.settle(Outcome(self.give_up(call)))

    def give_up(self, call: Call) -> i.Status:
        """Stop an attempt whose time is over or that was called off; tells how it ended."""
        if self.calls.get(call.id) is not call:
            return i.Status.RESET
        del self.calls[call.id]
        if self.outbox.withdraw(call.parcel):
            return self._never_sent()
        self.spoiled.add(call.id)
        self.outbox.post(Parcel(resp.command(b"STOP", call.id)))
        if self.heard_at < call.sent_at:
            self.retired = True  # a machine that vanished says nothing: new attempts try a new connection
        return i.Status.TIMEOUT

    def _never_sent(self) -> i.Status:
        """How an attempt ended of which nothing went out: only a connect that failed for want of nothing here
        says something of the member."""
        return i.Status.NOT_SENT if self.up or self.kept_back else i.Status.CONNECT_FAILED

    async def _run(self) -> None:
        failed = i.Status.CONNECT_FAILED
        try:
            sock = await self._connect()
            self.up, failed = True, i.Status.RESET
            await self._talk(sock)
        except (OSError, TimeoutError):  # told to the attempts below
            here = ConnectionEnd.CONNECT_FAILED_HERE if self.kept_back else ConnectionEnd.CONNECT_FAILED
            self.end = self.end or (ConnectionEnd.BROKEN if self.up else here)
        except resp.RespError as error:
            self.end = ConnectionEnd.BAD_ANSWER
            self.caches.counters.add("bad.resp")
            log.warning("connection closed", member=self.member, error=str(error))
        finally:
            self._close(failed)

    async def _connect(self) -> socket.socket:
        """A connection that is up. What fails for want of something on this machine is tried again for a
        while, within the attempts' own times; OSError or TimeoutError where the member is not reached."""
        end, pause = time.monotonic() + LOCAL_TROUBLE_S, LOCAL_RETRY_S
        while True:
            try:
                sock = self.sock = self.outbox.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                async with asyncio.timeout(self.caches.connect_s):
                    await asyncio.get_running_loop().sock_connect(sock, self.address)
                return sock
            except OSError as error:
                self.kept_back = errors.is_local(error)
                if not self.kept_back or time.monotonic() > end:
                    raise
                self.caches.counters.add("error.connect")
                log.warning("connect failed on this machine", member=self.member, error=str(error))
            if self.sock is not None:
                self.sock.close()
            await asyncio.sleep(pause)
            pause = min(2 * pause, LOCAL_RETRY_MOST_S)

    async def _talk(self, sock: socket.socket) -> None:
        writer = asyncio.get_running_loop().create_task(self.outbox.run())
        reader = asyncio.get_running_loop().create_task(self._read(sock))
        try:
            done, _ = await asyncio.wait({writer, reader}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)

    async def _read(self, sock: socket.socket) -> None:
        loop, parser, mark = asyncio.get_running_loop(), self.parser, 1
        while await parser.buffer.receive(loop, sock):
            self.heard_at = self.moved_at = time.monotonic()
            self.unread = 0
            for words in parser.messages():
                self.half_since = 0.0
                self._answered(words)
            if len(parser.buffer):
                self.half_since = self.half_since or self.heard_at
            # A body comes slowly, in many pieces: one wake-up for what is missing, not one a piece.
            missing = max(1, min(parser.need - len(parser.buffer), WAKE_MOST))
            if missing != mark:
                mark = missing
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, mark)

    def stuck(self, now: float) -> bool:
        """Has an answer begun and then stopped? What the socket holds counts, as reads wait."""
        if self.sock is None or not self.up or not len(self.parser.buffer):
            return False
        waiting = unread(self.sock)
        if waiting != self.unread:
            self.unread, self.moved_at = waiting, now
        return now - self.moved_at > STUCK_S

    def _answered(self, words: list[bytes]) -> None:
        outcome = read_outcome(words, self.caches.report_names)
        call = self.calls.pop(words[0], None)
        if (
            call is None
        ):  # after its attempt was given up, a second copy, or under an id that nobody asked for
            self.caches.counters.add("answer.late")
            self.spoiled.discard(words[0])
            return
        self.recent[words[0]] = None
        if len(self.recent) > RECENT:
            del self.recent[next(iter(self.recent))]
        if outcome.unchanged and not call.tag:
            raise resp.RespError("'unchanged' to a request that held no copy")
        if outcome.unchanged and outcome.tag != call.tag:
            # Of some other copy: it says nothing of the one that the client holds.
            self.caches.counters.add("bad.tag")
            log.warning("'unchanged' under another tag", member=self.member)
            outcome = Outcome(i.Status.ERROR)
        call.settle(outcome)

    def _close(self, failed: i.Status) -> None:
        self.closed = self.retired = True
        if self.sock is not None:
            self.sock.close()
        self.caches.forget(self)
        reason = (self.end or ConnectionEnd.CLOSED_BY_PEER).value
        self.caches.counters.add(f"ended.cache.{reason}")
        if self.calls:
            requests = [call.id.decode() for call in list(self.calls.values())[:8]]
            log.info("connection with calls ended", member=self.member, reason=reason, requests=requests)
        calls, self.calls = self.calls, {}
        for call in calls.values():
            unsent = call.parcel.progress in (Progress.WAITING, Progress.DROPPED)
            call.settle(Outcome(self._never_sent() if unsent else failed))
        self.outbox.close()


class Caches:
    """The core's transport: a bounded pool of connections to each member."""

    def __init__(
        self,
        members: Members,
        counters: Counters,
        connect_us: int,
        report_names: tuple[str, ...] = (),
        most_links: int = 256,
        share: Callable[[], float] | None = None,
    ) -> None:
        self.members, self.counters, self.report_names = members, counters, report_names
        self.share = share  # of the usual connections to each member, while a director comes back
        self.connect_s = (connect_us or 400_000) / 1e6
        self.most_links = most_links
        self.links: dict[str, list[Link]] = {}
        self.count = 0
        self.tally = Tally()
        members.watchers.append(self.member_changed)

    async def run(self, order: Order) -> Outcome:
        address = self.members.addresses.get(order.member)
        if address is None or order.left_us() <= 0 or not order.is_still_valid():
            return Outcome(i.Status.NOT_SENT)
        try:
            link = self._link(order, address)
        except OSError as error:  # all places are taken: nothing was sent
            self.counters.add("error.places")
            log.warning("no place for a connection", member=order.member, error=str(error))
            return Outcome(i.Status.NOT_SENT)
        call = link.call(order)
        limit = asyncio.get_running_loop().call_later(order.left_us() / 1e6, link.expire, call)
        try:
            return await call.result
        except asyncio.CancelledError:
            link.give_up(call)
            raise
        finally:
            limit.cancel()
            if call.parcel.begun_at:
                order.sent_us = steady_us() - int((time.monotonic() - call.parcel.begun_at) * 1e6)

    def _link(self, order: Order, address: tuple[str, int]) -> Link:
        """An unused connection, a new one, or the least used."""
        member, request_id = order.member, order.request.id.encode()
        links = self.links.get(member, [])
        fit = [link for link in links if link.takes(request_id)]
        least = min(fit, key=lambda link: len(link.calls), default=None)
        if least is not None and not least.calls:
            return least
        if least is None or ((order.alone or len(fit) < self._most_each()) and self.count < self.most_links):
            if self.count >= self.most_links:
                self._close_idle()
            if self.count >= self.most_links + LINKS_OVER:
                raise OSError("all places for connections to caches are taken")
            least = Link(self, member, address)
            self.links.setdefault(member, []).append(least)
            self.count += 1
        return least

    def _most_each(self) -> int:
        """Connections to one member, so that all members have theirs; fewer while a director comes back."""
        most = min(LINKS_MOST, self.most_links // (len(self.members.listed) + 1))
        return max(LINKS_LEAST, int(most * self.share()) if self.share is not None else most)

    def _close_idle(self) -> None:
        idle = [link for links in self.links.values() for link in links if not link.calls]
        if idle:
            min(idle, key=lambda link: link.used_at).drop(ConnectionEnd.PLACE_NEEDED)

    def forget(self, link: Link) -> None:
        links = self.links.get(link.member, [])
        if link in links:
            links.remove(link)
            self.count -= 1
        if not links:
            self.links.pop(link.member, None)

    def member_changed(self, member: str) -> None:
        """It left or started anew: what is open to it speaks to a process that is gone."""
        for link in self.links.get(member, []):
            link.retired = True
            if not link.calls:
                link.drop(ConnectionEnd.RETIRED)

    async def sweep(self) -> None:
        """Close what is idle, or retired and empty."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            before = now - IDLE_S
            for links in list(self.links.values()):
                for link in links:
                    if link.stuck(now):
                        self.counters.add("bad.stuck")
                        link.drop(ConnectionEnd.ANSWER_STUCK)
                    if link.outbox.stalled(now, STALLED_S):
                        link.drop(ConnectionEnd.STALLED)
                    if not link.calls and not link.outbox.pending and (link.retired or link.used_at < before):
                        link.drop(ConnectionEnd.RETIRED if link.retired else ConnectionEnd.IDLE)

    async def close(self) -> None:
        links = [link for links in self.links.values() for link in links]
        for link in links:
            link.drop(ConnectionEnd.CLOSING)
        tasks = [link.task for link in links]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
