"""The DNS front: queries in, core requests on, the chosen cache's address back. UDP and TCP."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.tsig
import dns.update

from onyxwick import logs
from onyxwick.config.address import format_address
from onyxwick.config.service import ServiceConfig
from onyxwick.core import AnswerStatus, FinalAnswer, RequestEngine
from onyxwick.counters import Counters
from onyxwick.dns import lookup, naming, update
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.listening import listen
from onyxwick.store.errors import StoreError
from onyxwick.tenants import TenantZone, read_zone

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState

log = logs.get()
PLAIN_SIZE, EDNS_SIZE = 512, 1232  # answers over UDP without and with EDNS
QUERIES = 512  # under way at once; over it UDP queries are dropped, as the asker comes again
TCP_CLIENTS, TCP_IDLE_S = 32, 10.0
HEADER = struct.Struct(">HHHHHH")
Send = Callable[[bytes], None]


def _is_query(wire: bytes) -> bool:
    return len(wire) >= HEADER.size and not wire[2] & 0x80


def _error_bytes(wire: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """A bare error: all that can be said to a message that cannot be read."""
    number, flags, *_ = HEADER.unpack_from(wire)
    return HEADER.pack(number, 0x8000 | (flags & 0x7900) | rcode, 0, 0, 0, 0)


class DnsFront:
    """Answers for the tenants' zones. What lies under a routed name is the core's to say."""

    def __init__(
        self,
        core: RequestEngine,
        counters: Counters,
        config: ServiceConfig,
        durable: DurableState | None = None,
    ) -> None:
        self.durable = durable
        self.core, self.counters, self.tenants = core, counters, config.tenants
        self.deadline_us, self.address = config.dns_deadline_us, config.dns_address
        self.transport = naming.Naming()
        self.classes = {c.name: c for c in core.settings.classes}
        self.tasks: set[asyncio.Task[None]] = set()
        self.tcp: set[asyncio.Task[None]] = set()

    # ---- messages ---------------------------------------------------------------------------------------

    def take(self, wire: bytes, udp: bool, send: Send) -> None:
        """One message off the wire. `send` is called with the answer's bytes, now or later."""
        if not _is_query(wire):
            return self._bad("no query")
        if len(self.tasks) >= QUERIES:
            self.counters.add("dns.dropped")
            return
        task = asyncio.get_running_loop().create_task(self._handle(wire, udp, send))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self, wire: bytes, udp: bool, send: Send) -> None:
        try:
            query = self._read(wire, send)
            if query is not None:
                await self._answer(query, udp, send)
        except Exception:
            self.counters.add("error.dns")
            log.exception("error in a DNS query")
            send(_error_bytes(wire, dns.rcode.SERVFAIL))

    def _read(self, wire: bytes, send: Send) -> dns.message.Message | None:
        opcode = dns.opcode.from_flags(HEADER.unpack_from(wire)[1])
        if opcode not in (dns.opcode.QUERY, dns.opcode.UPDATE):
            self.counters.add("dns.notimp")
            send(_error_bytes(wire, dns.rcode.NOTIMP))
            return None
        try:
            message = dns.message.from_wire(wire, keyring=self.tenants.keyring())
        except (
            dns.tsig.BadTime,
            dns.tsig.PeerError,
            dns.tsig.BadSignature,
            dns.message.UnknownTSIGKey,
        ) as error:
            self._bad(f"TSIG: {error!r}")
            send(_error_bytes(wire, dns.rcode.NOTAUTH))
            return None
        except (dns.exception.DNSException, ValueError, struct.error) as error:
            self._bad(f"message: {error!r}")
            send(_error_bytes(wire, dns.rcode.FORMERR))
            return None
        return message

    def _bad(self, text: str) -> None:
        self.counters.add("bad.dns")
        log.warning("bad input to the DNS front", detail=text)

    async def _answer(self, query: dns.message.Message, udp: bool, send: Send) -> None:
        response = dns.message.make_response(query, our_payload=EDNS_SIZE)
        if query.edns > 0:
            response.set_rcode(dns.rcode.BADVERS)
            return self._send(query, response, udp, send)
        if len(query.question) != 1:
            response.set_rcode(dns.rcode.FORMERR)
            return self._send(query, response, udp, send)
        name = query.question[0].name
        zone = self.tenants.zone_of(name)
        if zone is None or query.question[0].rdclass != dns.rdataclass.IN:
            response.set_rcode(
                dns.rcode.NOTAUTH if query.opcode() == dns.opcode.UPDATE else dns.rcode.REFUSED
            )
            return self._send(query, response, udp, send)
        if not self.tenants.tenants[zone.tenant].quota.take():
            self.counters.add(f"dns.quota.{zone.tenant}")
            response.set_rcode(dns.rcode.SERVFAIL)
            return self._send(query, response, udp, send)
        self.counters.add(f"dns.query.{zone.tenant}")
        if isinstance(query, dns.update.UpdateMessage):
            await self._update(zone, query, response)
        elif zone.routed is not None and name.is_subdomain(zone.routed):
            response.flags |= dns.flags.AA
            if await self._routed(zone, query, response, lambda: self._send(query, response, udp, send)):
                return
        else:
            response.flags |= dns.flags.AA
            self._static(zone, query, response)
        self._send(query, response, udp, send)

    def _static(self, zone: TenantZone, query: dns.message.Message, response: dns.message.Message) -> None:
        kind = query.question[0].rdtype
        if kind in (dns.rdatatype.AXFR, dns.rdatatype.IXFR):
            response.set_rcode(dns.rcode.REFUSED)
        else:
            lookup.answer(zone, query.question[0].name, kind, response)

    async def _update(
        self, zone: TenantZone, query: dns.update.UpdateMessage, response: dns.message.Message
    ) -> None:
        keys = self.tenants.tenants[zone.tenant].keys
        if query.question[0].name != zone.name:
            return response.set_rcode(dns.rcode.NOTAUTH)
        if not query.had_tsig or query.keyname not in keys:
            self.counters.add("dns.update.refused")
            return response.set_rcode(dns.rcode.REFUSED)
        before = zone.data
        if self.durable is not None:
            # The change is made in a copy: it is seen only once it is durable, and never half.
            text = before.to_text(relativize=False)
            zone.data = read_zone(zone.tenant, str(zone.name), text).data
        try:
            update.apply(zone, query)
            await self._last(zone)
            self.counters.add("dns.update.done")
        except StoreError as error:
            zone.data = before
            self.counters.add("dns.update.failed")
            log.error("update not durable, and not done", error=str(error))
            response.set_rcode(dns.rcode.SERVFAIL)
        except update.UpdateError as error:
            self.counters.add("dns.update.failed")
            response.set_rcode(error.rcode)

    async def _last(self, zone: TenantZone) -> None:
        """Durable before the update is answered; its serial can then never go back over a restart."""
        if self.durable is not None:
            tenant = self.tenants.tenants[zone.tenant]
            await self.durable.commit(self.durable.tenant_operations(zone.tenant, tenant), "update")

    # ---- routed names -----------------------------------------------------------------------------------

    async def _routed(
        self,
        zone: TenantZone,
        query: dns.message.Message,
        response: dns.message.Message,
        send: Callable[[], None],
    ) -> bool:
        """Answer a name under the routed one. True if `send` was called: right where the cache was chosen."""
        assert zone.routed is not None
        name, kind = query.question[0].name, query.question[0].rdtype
        labels = naming.labels_below(name, zone.routed)
        if len(labels) == 2 and labels[1] == naming.BOXES:
            self._box(zone, name, labels[0], kind, response)
            return False
        asked = naming.read_name(labels, self.classes)
        if asked is None:
            above = len(labels) < 3 and (
                not labels or naming.read_name(("0", "0" * 16, labels[-1]), self.classes)
            )
            if not above:
                response.set_rcode(dns.rcode.NXDOMAIN)
        if asked is None or kind not in (dns.rdatatype.A, dns.rdatatype.SRV):
            response.authority.append(lookup.soa(zone))
            return False
        request = naming.request(asked, self.core.now(), self.deadline_us, zone.tenant)

        def reply(answer: FinalAnswer) -> None:
            self._name(zone, name, kind, answer, response)
            send()

        await self.core.serve(request, reply, self.transport)
        return True

    def _name(
        self,
        zone: TenantZone,
        name: dns.name.Name,
        kind: dns.rdatatype.RdataType,
        answer: FinalAnswer,
        response: dns.message.Message,
    ) -> None:
        """The chosen cache as an answer. The list is asked again: a drain may have come since the choice."""
        address = self.core.endpoints.addresses.get(answer.member)
        if (
            answer.status is not AnswerStatus.SERVED
            or address is None
            or not self.core.endpoints.is_ready(answer.member)
        ):
            self.counters.add("dns.servfail")
            return response.set_rcode(dns.rcode.SERVFAIL)
        self.counters.add("dns.named")
        # TTL 0: the drain rule gives 500 ms, and a TTL has no fractions of a second.
        if kind == dns.rdatatype.A:
            response.answer.append(dns.rrset.from_text(name, 0, "IN", "A", address[0]))
            return
        assert zone.routed is not None
        target = dns.name.Name((answer.member.encode(), naming.BOXES.encode(), *zone.routed.labels))
        response.answer.append(dns.rrset.from_text(name, 0, "IN", "SRV", f"0 0 {address[1]} {target}"))
        response.additional.append(dns.rrset.from_text(target, 0, "IN", "A", address[0]))

    def _box(
        self,
        zone: TenantZone,
        name: dns.name.Name,
        member: str,
        kind: dns.rdatatype.RdataType,
        response: dns.message.Message,
    ) -> None:
        """The target of an SRV answer, whose naming was charged there; gone once the box drains."""
        if not self.core.endpoints.is_ready(member):
            response.set_rcode(dns.rcode.NXDOMAIN)
        elif kind == dns.rdatatype.A:
            address = self.core.endpoints.addresses[member][0]
            response.answer.append(dns.rrset.from_text(name, 0, "IN", "A", address))
            return
        response.authority.append(lookup.soa(zone))

    # ---- sending ----------------------------------------------------------------------------------------

    def _send(self, query: dns.message.Message, response: dns.message.Message, udp: bool, send: Send) -> None:
        self.counters.add(f"dns.answer.{dns.rcode.to_text(response.rcode())}")
        size = 65_535
        if udp:
            size = min(max(PLAIN_SIZE, query.payload), EDNS_SIZE) if query.edns >= 0 else PLAIN_SIZE
        try:
            wire = response.to_wire(max_size=size)
        except dns.exception.TooBig:  # the asker comes again by TCP
            short = dns.message.make_response(query, our_payload=EDNS_SIZE)
            short.flags |= dns.flags.TC | (response.flags & dns.flags.AA)
            wire = short.to_wire(max_size=size)
        send(wire)

    async def run(self) -> None:
        """Listen until cancelled."""
        loop = asyncio.get_running_loop()
        assert self.address is not None
        transport, _ = await loop.create_datagram_endpoint(lambda: _Udp(self), local_addr=self.address)
        with listen(self.address) as sock:
            log.info("DNS front on", address=format_address(self.address))
            try:
                await self._accept(sock)
            finally:
                transport.close()
                for task in (*self.tcp, *self.tasks):
                    task.cancel()

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                conn, _ = await loop.sock_accept(sock)
            except OSError as error:
                self.counters.add("error.accept")
                log.warning("accept failed", error=str(error))
                await asyncio.sleep(0.05)
                continue
            conn.setblocking(False)
            if len(self.tcp) >= TCP_CLIENTS:
                conn.close()
                continue
            task = loop.create_task(self._client(conn))
            self.tcp.add(task)
            task.add_done_callback(self.tcp.discard)

    async def _client(self, conn: socket.socket) -> None:
        """One TCP client: messages with two bytes of length before them, answered one by one in order."""
        loop, buffer = asyncio.get_running_loop(), ReceiveBuffer()
        with conn, contextlib.suppress(OSError, TimeoutError):
            while True:
                async with asyncio.timeout(TCP_IDLE_S):  # for a whole message, in however many pieces
                    while len(buffer) < 2 or len(buffer) < 2 + int.from_bytes(buffer.peek(2), "big"):
                        if not await buffer.receive(loop, conn):
                            return
                wire = buffer.take(2 + int.from_bytes(buffer.peek(2), "big"))[2:]
                if not _is_query(wire):
                    return self._bad("no query")
                out = list[bytes]()
                await self._handle(wire, False, out.append)
                async with asyncio.timeout(TCP_IDLE_S):
                    for answer in out:
                        await loop.sock_sendall(conn, len(answer).to_bytes(2, "big") + answer)


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, front: DnsFront) -> None:
        self.front = front
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # No isinstance here: uvloop's UDP transport is none of asyncio's classes, it only has their methods.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        assert self.transport is not None
        transport = self.transport
        self.front.take(data, True, lambda wire: transport.sendto(wire, addr))
