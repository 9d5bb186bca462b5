"""A fleet on loopback: machines, relays, coordinators, clients, and real directors with their
configuration."""

from __future__ import annotations

import asyncio
import json
import random
import re
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any, Protocol

from onyxwick.config.address import Address, format_address
from onyxwick.config.fields import format_duration
from onyxwick.lab.arrivals import object_name
from onyxwick.lab.clients import Clients, ClientTarget
from onyxwick.lab.copies import Copy
from onyxwick.lab.faults.history import Row
from onyxwick.lab.faults.model import ARCHIVE, FleetScenario
from onyxwick.lab.faults.paths import Paths, UnreachedEventError
from onyxwick.lab.faults.relay import LinkRelay
from onyxwick.lab.feed import Feed, row_of
from onyxwick.lab.machines import FILL_PACE, Ask, CoordinatorEmulator, FillFailedError, Machine, World
from onyxwick.lab.model import Tier
from onyxwick.lab.platform import PlatformLayout, configuration, settings
from onyxwick.lab.programs import Program
from onyxwick.store.encryption import generate_key

GROUPS = 64
OUTSIDE = "outside"
TOKEN = "operator-token-of-the-lab"
SITE_FIELD = "HTTP_X_SITE"
SITE_STATE_EVENT = "site state changed"
"""The event of a director's log line that names a new state of a site."""

SITE_EVENT = re.compile(r'"event": ?"site state changed"')
"""Matches the log lines of a director (core/engine.py) that are recorded in the history."""


class Placed(Protocol):
    """A machine, real or simulated."""

    kind: str
    zone: str


class FleetClock:
    """Clock of Unix microseconds that never jumps: the system's time at the start, advanced by the monotonic
    clock."""

    def __init__(self) -> None:
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        """Return the present time in Unix microseconds."""
        return self.base + time.monotonic_ns() // 1000


class FleetWorld(World):
    """Machines whose fills pass the links between their places, and whose load is recorded."""

    def __init__(self, fleet: FleetScenario, clock: FleetClock) -> None:
        super().__init__(fleet.scenario.classes, clock, GROUPS)
        self.paths = Paths(fleet, clock)
        self.place_of: dict[str, str] = {}
        self.used: dict[tuple[str, int], float] = defaultdict(float)  # (place or link, second): work in us

    def worked(self, machine: Machine, work_us: float) -> None:
        """Add work of a machine to the load of its place."""
        self._use(self.place_of[machine.name], work_us)

    def _use(self, place: str, work_us: float) -> None:
        self.used[(place, self.clock() // 1_000_000)] += work_us

    async def carry(self, to: Machine, source: Machine, ask: Ask) -> Copy:
        """Fill `to` from `source` over the link between them. Raises FillFailedError if they are cut off."""
        here, there = self.place_of[to.name], self.place_of[source.name]
        if not self.paths.reaches(here, there):
            try:
                await self.paths.travel(here, there, 0)
            except UnreachedEventError:
                raise FillFailedError("UP_DOWN") from None
        copy = await source.give(ask)
        if here != there:
            self._use(" - ".join(sorted((here, there))), ask.work_us)
        try:
            await self.paths.travel(here, there, ask.work_us)
        except UnreachedEventError:
            raise FillFailedError("UP_DOWN") from None
        return copy


class FleetDirector:
    """One real director: its site, its addresses and the relays in front of it, its coordinator and its
    feed."""

    def __init__(self, name: str, number: int, site: str, base: str) -> None:
        self.name, self.number, self.site = name, number, site
        self.listen: Address = (f"{base}.1.{number + 1}", 5050)
        self.admin: Address = (f"{base}.7.{number + 1}", 8053)
        self.coordinator = CoordinatorEmulator((f"{base}.9.{number + 1}", 7070), FleetClock())
        self.feed = Feed(self.coordinator)
        self.relayed: Address = (f"{base}.8.{number + 1}", 7070)
        self.doors: dict[str, Address] = {}  # address for clients, by the place from which they connect
        self.members: dict[str, Address] = {}  # address at which this director reaches each machine
        self.program: Program | None = None
        self.up = False
        self.unlisted = False  # its endpoint list reports no losses, as if all were well


class FleetHarness:
    """The complete fleet of a run. `run.py` builds, starts and stops it."""

    def __init__(self, fleet: FleetScenario, seed: int, variant: str, slot: int, tree: Path | None) -> None:
        self.fleet, self.seed, self.variant, self.tree = fleet, seed, variant, tree
        self.base = f"127.{100 + slot}"
        self.clock = FleetClock()
        self.random = random.Random(f"ground {seed}")
        self.world = FleetWorld(fleet, self.clock)
        self.paths = self.world.paths
        self.folder = Path(tempfile.mkdtemp(prefix="onyxwick-faults-"))
        self.directors = [FleetDirector(n, k, s, self.base) for k, (n, s) in enumerate(fleet.directors)]
        self.relays: list[LinkRelay] = []
        self.rows: list[Row] = []
        self.clients = Clients(
            fleet.scenario.classes, self.world.records, self.clock, seed, self.world.group, 0
        )
        self.clients.excused = self.excused
        self.downs: dict[int, list[tuple[int, int]]] = defaultdict(list)  # by director: (kill, next start)
        self.away: dict[str, int] = {}  # lost sites, and the time from which their clients use other sites
        self.generation: dict[str, int] = defaultdict(int)  # of a site's caches that come back under new ids
        self.turn = 0

    # ---- machines ---------------------------------------------------------------------------------------

    def machine(self, name: str, kind: str, zone: str, place: str, tier: Tier, net: int) -> Machine:
        """Create a machine at the next address of the network `net`."""
        number = sum(m.kind == kind for m in self.world.machines.values()) + 1
        address = (f"{self.base}.{net}.{number}", 5050)
        made = self.world.machines[name] = Machine(self.world, name, kind, zone, tier, address)
        self.world.place_of[name] = place
        return made

    def build(self) -> None:
        """Create all machines of the scenario and fill their caches."""
        scenario = self.fleet.scenario
        for site in self.fleet.sites.values():
            for n in range(site.boxes):
                self.machine(f"{site.name}-{n + 1}", "box", site.name, site.name, scenario.boxes, 2)
        for hub in self.fleet.hubs.values():
            for n in range(hub.stores):
                self.machine(f"{hub.name}-{n + 1}", "parent", hub.name, hub.name, scenario.parents, 3)
        self.machine("origin", "origin", self.fleet.archive_at, ARCHIVE, scenario.origin, 4)
        self._fill()

    def _fill(self) -> None:
        """Fill the caches with the most popular objects, on the machines that get the requests for them."""
        now, scenario = self.clock(), self.fleet.scenario
        for machine in self.world.machines.values():
            for load in scenario.loads if machine.kind != "origin" else ():
                for number in range(min(scenario.warm_objects, load.objects)):
                    for name in warm_names(self.fleet, object_name(load.name, number), machine):
                        for part in range(max(job.parts for job in scenario.jobs)):
                            tag = self.world.truth.copy(name, part, self.world.group(name), now).tag
                            machine.store.keep(name, part, Copy(tag, now), 1)

    async def relay(self, here: str, there: str, listen: Address, target: Address) -> None:
        """Start a relay over the link between two places."""
        relay = LinkRelay(self.paths.way(here, there), listen, target, self.random)
        self.relays.append(relay)
        await relay.start()

    async def reach(self, director: FleetDirector, machine: Machine) -> None:
        """Start a relay through which a director reaches a machine, unless there is one already."""
        if machine.name in director.members:
            return
        at = (f"{self.base}.{20 + director.number}.{len(director.members) + 1}", 5050)
        director.members[machine.name] = at
        await self.relay(director.site, self.world.place_of[machine.name], at, machine.address)

    # ---- directors --------------------------------------------------------------------------------------

    def director_configuration(self, director: FleetDirector) -> dict[str, Any]:
        """Return the configuration document of a director."""
        fleet = self.fleet
        zones = (*fleet.hubs, *fleet.sites)
        place = PlatformLayout(
            director.site, fleet.sites[director.site].directors, len(self.directors), zones
        )
        return configuration(
            director.name,
            self.seed * 1000 + director.number,
            director.listen,
            director.relayed,
            director.feed.known(),
            {**settings(fleet.scenario, place), "self_index": director.number},
        )

    async def start(self, director: FleetDirector) -> None:
        """Start a director, for the first time or again under the same name."""
        path = self.folder / f"{director.name}.json"
        path.write_text(json.dumps(self.director_configuration(director)))
        if director.program is None:
            service = self.folder / f"{director.name}.hcl"
            service.write_text(self.service(director))
            names = {"RELAY_CONFIG": str(path), "ONYXWICK_SERVICE": str(service)}
            program = director.program = Program(
                director.name, self.folder, director.listen, names, self.tree
            )
            program.heard.append(lambda line: self.record_site_state(director, line))
        await director.program.start()
        director.up = True
        if downs := self.downs[director.number]:
            downs[-1] = (downs[-1][0], self.clock())

    def record_site_state(self, director: FleetDirector, line: str) -> None:
        """Record the state of a site in the history if a director's log line reports one."""
        if SITE_STATE_EVENT not in line:
            return
        told = json.loads(line)
        if told.get("event") != SITE_STATE_EVENT:
            return
        data = {k: told.get(k) for k in ("was", "now", "share", "why")}
        self.rows.append(Row("state", self.clock(), director.name, told["site"], data))

    def service(self, director: FleetDirector) -> str:
        """Return the service file of one director. The variant 'plain' has no blocks about sites."""
        (self.folder / "operator.token").write_text(TOKEN)
        (self.folder / "store.keys").write_text(generate_key())
        text = (
            f'admin {{\n  listen = "{format_address(director.admin)}"\n  token_file = "operator.token"\n}}\n'
        )
        text += f'store {{\n  folder = "store-{director.name}"\n  key_file = "store.keys"\n'
        text += '  installation = "lab"\n}\n'
        return text + (topology_text(self.fleet) if self.variant == "sites" else "")

    def rows_for(self, director: FleetDirector, machines: list[Machine], state: str) -> list[dict[str, Any]]:
        """Return the endpoint list rows of machines, with the addresses at which this director reaches
        them."""
        return [row_of(m, state, director.members[m.name]) for m in machines]

    # ---- clients ----------------------------------------------------------------------------------------

    def choose(self, site: str) -> ClientTarget:
        """Choose the director to which a client of a site sends its next request."""
        since, now = self.away.get(site, 0), self.clock()
        home = [d for d in self.directors if d.site == site]
        if (since and now >= since) or not home:
            home = self._elsewhere(site) or home
        self.turn += 1
        director = home[self.turn % len(home)]
        fields = ((SITE_FIELD, site),) if self.variant == "sites" else ()
        # A client whose site is lost reaches another site over links that do not lead through the lost site.
        at = site if director.site == site else OUTSIDE
        return ClientTarget(director.number, director.doors[at], f"{site} by {at}", fields)

    def excused(self, to: ClientTarget, sent_us: int) -> bool:
        """Return whether a fault explains that a request's connection ended without an answer. Its director
        was killed during the request, or before it without the link showing that; or the link was cut or
        resets connections."""
        now, director = self.clock(), self.directors[to.director]
        if any(begin <= now and end >= sent_us for begin, end in self.downs[to.director]):
            return True
        site, _, at = to.pool.partition(" by ")
        way = self.paths.way(at or site, director.site)
        loop_now = asyncio.get_running_loop().time()
        return bool(way.resets) or way.was_dark(loop_now - (now - sent_us) / 1e6, loop_now)

    def _elsewhere(self, site: str) -> list[FleetDirector]:
        up = [d for d in self.directors if d.site != site and d.site not in self.away]
        shares = self.fleet.sites[site].failover
        sites = sorted({d.site for d in up})
        weights = [shares.get(s, 0.0) if shares else 1.0 for s in sites]
        if not sites:
            return []
        chosen = self.random.choices(sites, weights if sum(weights) else None)[0]
        return [d for d in up if d.site == chosen]


def warm_names(fleet: FleetScenario, name: str, machine: Placed) -> set[str]:
    """Return the names of an object for the clients whose requests reach a machine."""
    sites = [machine.zone] if machine.kind == "box" else list(fleet.sites)
    return {fleet.object_at(name, site) for site in sites}


def topology_text(fleet: FleetScenario) -> str:
    """Return the topology that a director gets: as stated by the scenario, in the form of the service
    file."""
    scenario, out = fleet.scenario, ["sites {"]
    out += [f"  {name} = {value}" for name, value in fleet.policy.items()]
    if fleet.reserves:
        out.append("  reserves = {" + ", ".join(f'"{t}" = {r}' for t, r in fleet.reserves.items()) + "}")
    out.append("}")
    for site in fleet.sites.values():
        capacity = site.boxes * scenario.boxes.capacity
        shares = ", ".join(f'"{s}" = {w}' for s, w in site.failover.items())
        out.append(f'site "{site.name}" {{')
        out.append(f"  capacity = {capacity}\n  directors = {site.directors}\n  boxes = {site.boxes}")
        out.append(f"  failover = {{ {shares} }}\n}}" if shares else "}")
    for hub in fleet.hubs.values():
        out.append(f'hub "{hub.name}" {{\n  capacity = {hub.stores * scenario.parents.capacity}\n}}')
    out.append(f'archive {{\n  zone = "{fleet.archive_at}"\n  capacity = {scenario.origin.capacity}\n}}')
    for link in fleet.links.values():
        one, other = link.ends
        out.append(f'path "{one}" "{other}" {{')
        out.append(f'  capacity = {link.capacity}\n  delay = "{format_duration(link.delay_us)}"\n}}')
    out += [_load_text(fleet, name) for name in scenario.classes]
    return "\n".join(out) + "\n"


def _load_text(fleet: FleetScenario, name: str) -> str:
    """Return the block for the load of a class: its rate by site and tenant, from the scenario's mix."""
    scenario = fleet.scenario
    job = scenario.classes[name]
    rates = []
    for load in scenario.loads:
        parts = {kind: share * scenario.classes[kind].parts for kind, share in load.mix}
        share = parts.get(name, 0.0) / sum(parts.values())
        for site in fleet.sites.values():
            rates.append(f'"{site.name}/{load.name}" = {load.rate_per_s * share * site.share:.4f}')
    fills = fleet.fills.get(name, (0.3, 0.3))
    write = "  write = true\n" if job.kind.is_write else f"  shared = {1 - fleet.local}\n"
    return (
        f'load "{name}" {{\n  sending = "{format_duration(job.sending_us)}"\n'
        f'  fill = "{format_duration(int(FILL_PACE * job.sending_us))}"\n'
        f"  fill_share = {0.0 if job.kind.is_write else fills[0]}\n  relay_share = {fills[1]}\n"
        f"  worth = {job.kind.priority_weight}\n{write}  rate_per_s = {{ {', '.join(rates)} }}\n}}"
    )
