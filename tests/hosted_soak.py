"""A seeded soak of one real director with the hosted fronts: accepted changes, restarts, other clients.

Two tenants put zones of random length, read, list, correct and delete them, update them and ask for their
names; the director is ended and started again in between, while clients of the platform go on. The rules:

- what was accepted can be read, listed, corrected and deleted at once;
- a call that is repeated after its Retry-After is not told another one;
- a start is ready in time, and has all that was accepted; until a zone is read its names get SERVFAIL;
- requests of the platform's clients are answered in time.

`python -m tests.hosted_soak --seed 1 --minutes 10` runs it by hand. Times are in seconds.
"""

from __future__ import annotations

import argparse
import base64
import contextlib
import http.client
import json
import random
import secrets
import signal
import socket
import struct
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import dns.message
import dns.query
import dns.rcode
import dns.rdatatype
import dns.tsigkeyring
import dns.update

from onyxwick.config.address import format_address
from onyxwick.zones import MAX_ZONE_CHARACTERS
from tests.limited_director import LimitedDirector, confirm_list_to_all, encode_call, free_address

TENANTS = ("yards", "depots")
SECRET = base64.b64encode(b"secret-of-the-soak").decode()
MAX_READY_S = 10.0
"""A third of what a start may take."""
LATEST_S = 3.5
"""When an answer is lost: half a second after the time of the calls that are sent."""
CALL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 60.0
MEMORY_MB = 512
SIZES = (0, 1, 60, 2_000, 6_000, 10_000)
"""Names of a zone; 10,000 make some 235,000 characters."""
MAX_ZONES = 6


@dataclass(frozen=True)
class ApiAnswer:
    """An answer of the administration API."""

    status: int
    data: dict[str, object]
    retry_after_s: int


@dataclass
class Findings:
    """What the soak found, and how much it has done."""

    broken: list[str] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    longest_s: dict[str, float] = field(default_factory=dict)

    def count(self, what: str) -> None:
        """Count something that was done."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def took(self, what: str, seconds: float) -> None:
        """Record how long something took."""
        self.count(what)
        self.longest_s[what] = max(self.longest_s.get(what, 0.0), seconds)


class PlatformClient(threading.Thread):
    """Sends one request after the other, each on a connection of its own, while it is let."""

    def __init__(self, director: LimitedDirector, findings: Findings) -> None:
        super().__init__(daemon=True)
        self.director = director
        self.findings = findings
        self.may_send = threading.Event()
        self.is_idle = threading.Event()
        self.latencies_s = list[float]()
        self.has_ended = False

    def run(self) -> None:
        """Send until the end."""
        while not self.has_ended:
            if not self.may_send.is_set():
                self.is_idle.set()
                self.may_send.wait(0.05)
                continue
            self.is_idle.clear()
            began_s = time.monotonic()
            is_served = self._send()
            self.latencies_s.append(time.monotonic() - began_s)
            if not is_served or self.latencies_s[-1] > LATEST_S:
                self.findings.broken.append(f"request lost after {self.latencies_s[-1]:.3f} s")
            time.sleep(CALL_INTERVAL_S)

    def _send(self) -> bool:
        with contextlib.suppress(OSError), self.director.connect() as sock:
            sock.sendall(encode_call(1))
            received = b""
            while b"walk" not in received:
                data = sock.recv(65_536)
                if not data:
                    return False
                received += data
            return b"200 OK" in received
        return False

    def pause(self) -> None:
        """Return once no request is open."""
        self.may_send.clear()
        self.is_idle.wait(LATEST_S)


class HostedSoak:
    """The calls, the restarts and what is expected of them."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.findings = Findings()
        self.dns_address = free_address()
        self.admin_address = free_address()
        self.serials: dict[tuple[str, str], int] = {}
        """The serial number of each accepted zone by tenant and name."""
        self.serial = 1
        self.folder = folder
        environment = {"ONYXWICK_SERVICE": str(self._write_service())}
        self.director = LimitedDirector(
            folder, memory_mb=MEMORY_MB, environment=environment, confirm=confirm_list_to_all
        )
        self.client = PlatformClient(self.director, self.findings)

    def _write_service(self) -> Path:
        (self.folder / "operator.token").write_text("token-of-the-operator-0123")
        key = base64.urlsafe_b64encode(secrets.token_bytes(32)).decode()
        (self.folder / "store.keys").write_text(key + "\n")
        (self.folder / "store").mkdir()
        blocks = [
            f'dns {{\n  listen = "{format_address(self.dns_address)}"\n}}',
            f'admin {{\n  listen = "{format_address(self.admin_address)}"\n'
            '  token_file = "operator.token"\n}',
            'store {\n  folder = "store"\n  key_file = "store.keys"\n  installation = "soak"\n}',
            *(
                f'tenant "{name}" {{\n  token = "token-of-tenant-{name}"\n  key "{name}." {{\n'
                f'    secret = "{SECRET}"\n  }}\n}}'
                for name in TENANTS
            ),
        ]
        path = self.folder / "service.hcl"
        path.write_text("\n".join(blocks) + "\n")
        return path

    def run(self, seconds: float) -> Findings:
        """Play until the time is over, and check all zones after a last restart."""
        try:
            self.director.wait_ready()
            self.client.start()
            self.client.may_send.set()
            until_s = time.monotonic() + seconds
            while time.monotonic() < until_s:
                self._act()
            self._restart()
            self._check_all()
        finally:
            self.client.has_ended = True
            self.director.close()
        return self.findings

    # ---- acts -------------------------------------------------------------------------------------------

    def _act(self) -> None:
        act = self.rng.choices(
            [self._put_new, self._correct, self._delete, self._update, self._ask, self._restart],
            [6, 2, 1, 4, 8, 1],
        )[0]
        act()

    def _put_new(self) -> None:
        tenant = self.rng.choice(TENANTS)
        own = [zone for owner, zone in self.serials if owner == tenant]
        if len(own) < MAX_ZONES:
            zone = f"z{len(self.serials)}-{self.serial}.{tenant}.example."
            self._put(tenant, zone, 201)
            self._check(tenant, zone)
            if self.rng.random() < 0.5:
                self._put(tenant, zone, 200, must_be_at_once=True)
            if self.rng.random() < 0.3:
                self._delete_zone(tenant, zone)

    def _correct(self) -> None:
        if self.serials:
            self._put(*self.rng.choice(sorted(self.serials)), 200)

    def _delete(self) -> None:
        if self.serials:
            self._delete_zone(*self.rng.choice(sorted(self.serials)))

    def _delete_zone(self, tenant: str, zone: str) -> None:
        self._call("DELETE", tenant, zone, 204)
        del self.serials[tenant, zone]
        if (rcode := self._rcode(zone)) is not dns.rcode.REFUSED:
            self.findings.broken.append(f"{zone} was deleted and is answered: {rcode!r}")

    def _put(self, tenant: str, zone: str, status: int, must_be_at_once: bool = False) -> None:
        self.serial += 1
        text = self._zone_text(self.serial)
        self._call("PUT", tenant, zone, status, {"text": text}, must_be_at_once)
        self.serials[tenant, zone] = self.serial

    def _zone_text(self, serial: int) -> str:
        head = f"$TTL 300\n@ SOA ns h {serial} 1 1 1 60\n@ NS ns\nns A 127.0.0.1\n"
        names = self.rng.choice(SIZES)
        if self.rng.random() < 0.2:
            return head + (f"$GENERATE 1-{names} b$.{'x' * 40} A 127.0.0.2\n" if names else "")
        text = head + "".join(
            f"b{number} A 127.1.{number // 250}.{number % 250}\n" for number in range(names)
        )
        assert len(text) <= MAX_ZONE_CHARACTERS
        return text

    def _update(self) -> None:
        if not self.serials:
            return
        tenant, zone = self.rng.choice(sorted(self.serials))
        keyring = dns.tsigkeyring.from_text({f"{tenant}.": SECRET})
        message = dns.update.UpdateMessage(zone, keyring=keyring)
        message.add(f"u{self.rng.randrange(20)}", 60, "A", f"127.2.0.{self.rng.randrange(250)}")
        rcode = self._update_rcode(message.to_wire())
        self.findings.count(f"update {dns.rcode.to_text(rcode)}")
        if rcode == dns.rcode.NOERROR:
            shown = self._call("GET", tenant, zone, 200)
            self.serials[tenant, zone] = int(str(shown.data.get("serial", 0)))
        elif rcode != dns.rcode.SERVFAIL:
            self.findings.broken.append(f"update of {zone}: {rcode!r}")

    def _update_rcode(self, wire: bytes) -> dns.rcode.Rcode:
        """Send an update over TCP; the answer to one that is rejected unread has no signature."""
        with socket.create_connection(self.dns_address, CALL_TIMEOUT_S) as sock:
            sock.sendall(struct.pack(">H", len(wire)) + wire)
            with sock.makefile("rb") as stream:
                size = struct.unpack(">H", stream.read(2))[0]
                flags = struct.unpack(">HH", stream.read(size)[:4])[1]
        return dns.rcode.from_flags(flags, 0)

    def _ask(self) -> None:
        if self.serials:
            _, zone = self.rng.choice(sorted(self.serials))
            rcode = self._rcode(f"ns.{zone}")
            self.findings.count(f"query {dns.rcode.to_text(rcode)}")
            if rcode not in (dns.rcode.NOERROR, dns.rcode.SERVFAIL):
                self.findings.broken.append(f"query for {zone}: {rcode!r}")

    def _rcode(self, name: str) -> dns.rcode.Rcode:
        query = dns.message.make_query(name, dns.rdatatype.A)
        return dns.query.udp(query, self.dns_address[0], 5.0, self.dns_address[1]).rcode()

    def _restart(self) -> None:
        self.client.pause()
        number = self.rng.choice([signal.SIGTERM, signal.SIGKILL])
        ready_s = self.director.restart(number)
        self.findings.took(f"restart by {number.name}", ready_s)
        if ready_s > MAX_READY_S:
            self.findings.broken.append(f"ready only {ready_s:.1f} s after a start")
        self.client.may_send.set()
        if self.rng.random() < 0.5:
            self._check_all()

    # ---- checks -----------------------------------------------------------------------------------------

    def _check_all(self) -> None:
        for tenant, zone in sorted(self.serials):
            self._check(tenant, zone)
        for tenant in TENANTS:
            listed = self._call("GET", tenant, "", 200).data["zones"]
            expected = sorted(zone for owner, zone in self.serials if owner == tenant)
            if not isinstance(listed, list) or sorted(listed) != expected:
                self.findings.broken.append(f"{tenant} has {listed}, expected {expected}")

    def _check(self, tenant: str, zone: str) -> None:
        """Check that a zone can be read, and is what was accepted last."""
        shown = self._call("GET", tenant, zone, 200)
        if shown.data.get("serial") != self.serials[tenant, zone]:
            expected = self.serials[tenant, zone]
            self.findings.broken.append(f"{zone} has serial {shown.data.get('serial')}, expected {expected}")
        if (rcode := self._rcode(f"ns.{zone}")) != dns.rcode.NOERROR:
            self.findings.broken.append(f"{zone} was read, and a query gets {rcode!r}")

    def _call(
        self,
        method: str,
        tenant: str,
        zone: str,
        status: int,
        data: dict[str, object] | None = None,
        must_be_at_once: bool = False,
    ) -> ApiAnswer:
        """Make a call of a tenant, and repeat it once after the time that a rejection tells."""
        path = f"/tenants/{tenant}/zones/{zone}".removesuffix("/")
        answer = self._call_once(method, tenant, path, data)
        if answer.status in (429, 503) and answer.retry_after_s and not must_be_at_once:
            self.findings.took(f"{method} {answer.status}: wait", answer.retry_after_s)
            time.sleep(answer.retry_after_s)
            answer = self._call_once(method, tenant, path, data)
        if answer.status != status:
            self.findings.broken.append(f"{method} {path}: {answer.status}, expected {status}: {answer.data}")
        return answer

    def _call_once(self, method: str, tenant: str, path: str, data: dict[str, object] | None) -> ApiAnswer:
        began_s = time.monotonic()
        connection = http.client.HTTPConnection(*self.admin_address, timeout=CALL_TIMEOUT_S)
        with contextlib.closing(connection):
            headers = {"Authorization": f"Bearer token-of-tenant-{tenant}"}
            body = json.dumps(data) if data is not None else None
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
        self.findings.took(f"{method} {response.status}", time.monotonic() - began_s)
        retry_after_s = int(response.headers.get("Retry-After") or 0)
        return ApiAnswer(response.status, json.loads(content) if content else {}, retry_after_s)


def play(seed: int, seconds: float, folder: Path) -> HostedSoak:
    """Play one soak, print what it did, and return it."""
    soak = HostedSoak(seed, folder)
    findings = soak.run(seconds)
    latencies = sorted(soak.client.latencies_s)
    print(f"seed {seed}: {dict(sorted(findings.counts.items()))}")
    print(f"longest: { {what: round(took_s, 2) for what, took_s in sorted(findings.longest_s.items())} }")
    if latencies:
        middle, last = latencies[len(latencies) // 2], latencies[-1]
        print(f"{len(latencies)} requests beside it: median {middle:.3f} s, longest {last:.3f} s")
    for finding in findings.broken:
        print(f"broken: {finding}")
    return soak


def main() -> int:
    """Play a soak of the length and seed of the command line; returns 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=10.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="onyxwick-soak-") as folder:
        soak = play(arguments.seed, 60 * arguments.minutes, Path(folder))
    return 1 if soak.findings.broken else 0


if __name__ == "__main__":
    sys.exit(main())
