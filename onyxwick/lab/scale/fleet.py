"""A run of a thousand hollow directors that follow a real distribution tree, with optional faults.

Everything runs on loopback. The publisher and the relays are real processes; many directors share a process.
The uplinks of each region's relays pass through the lab's link relays, where they can be cut.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import numpy as np
import ujson

from onyxwick.config.address import Address, format_address
from onyxwick.distribution.codec import encode_event
from onyxwick.distribution.documents import split_document
from onyxwick.distribution.model import Cursor
from onyxwick.distribution.tree import TreeLimits, plan_tree
from onyxwick.lab.faults.relay import LinkDirection
from onyxwick.lab.faults.relay import LinkRelay as LinkRelay
from onyxwick.lab.scale.fleet_plan import RELAYS_PER_REGION, FleetPlan, check_plan
from onyxwick.lab.scale.fleet_processes import NodeProcess, PipeProcess
from onyxwick.lab.scale.fleet_results import (
    AppliedEvents,
    Published,
    largest_table_sizes,
    machine_cpu_ticks,
    short_status,
    sum_counts,
)
from onyxwick.lab.scale.hollow import DOC_COUNT, HostSpec, ObservationKind, Shape, coordinator_main, host_main
from onyxwick.lab.scale.processes import cpu_s, resident_kb, wait_until_reachable
from onyxwick.lab.scale.sweeps import CONFIG, rows

SETTLE_S = 20.0
STATUS_WAIT_S = 0.2
START_TIMEOUT_S = 60.0
STARVED_BUSY_SHARE, STARVED_TIMER_LAG_MS = 0.92, 100.0


class HollowFleet:
    """One run of a fleet; `progress` is called with a line of text for each step."""

    def __init__(self, fleet_plan: FleetPlan, progress: Callable[[str], None]) -> None:
        check_plan(fleet_plan)
        self.plan, self.progress = fleet_plan, progress
        self.rng = random.Random(fleet_plan.seed)
        self.folder = Path(tempfile.mkdtemp(prefix="onyxwick-scale-"))
        self.base = f"127.{150 + fleet_plan.slot}"
        self.feed: Address = (f"{self.base}.0.1", 7070)
        self.context = multiprocessing.get_context("spawn")
        self.nodes: dict[str, NodeProcess] = {}
        self.regions = [f"g{n}" for n in range(fleet_plan.regions)]
        self.link_directions = {region: LinkDirection(region, "core") for region in self.regions}
        self.links: list[LinkRelay] = []
        self.hosts: list[PipeProcess] = []
        self.coordinator: PipeProcess | None = None
        self.full_director: subprocess.Popen[bytes] | None = None
        self.index = 0
        self.witnesses = min(fleet_plan.regions, fleet_plan.directors)
        self.published = Published()
        self.lags: list[float] = []
        # Of a cut: the age of the oldest view at its end, and the time until the last director caught up.
        self.oldest_view_s = self.caught_up_s = 0.0

    # ---- setting up -----------------------------------------------------------------------------------

    def _spawn(self, target: Callable[..., None], *arguments: Any) -> PipeProcess:
        ours, theirs = self.context.Pipe()
        process = self.context.Process(target=target, args=(*arguments, theirs), daemon=True)
        process.start()
        theirs.close()
        return PipeProcess(process, ours)

    def _node(self, name: str, number: int, fields: str) -> NodeProcess:
        listen = (f"{self.base}.1.{number + 1}", 7400)
        head = f'  name = "{name}"\n  listen = "{format_address(listen)}"\n  width = 2048\n'
        text = f"distribution {{\n{head}{fields}\n}}\n"
        file = self.folder / f"{name}.hcl"
        file.write_text(text)
        node = self.nodes[name] = NodeProcess(name, listen, file, self.folder / f"{name}.out")
        return node

    async def _uplink(self, region: str, number: int, target: Address) -> Address:
        """Start a link relay to a node outside a region and return the address that the region uses."""
        listen = (f"{self.base}.2.{number + 1}", 7400 + len(self.links))
        link = LinkRelay(self.link_directions[region], listen, target, self.rng)
        await link.start()
        self.links.append(link)
        return listen

    async def _start_tree(self) -> None:
        root = self._node(
            "root",
            0,
            f'  role = "publisher"\n  coordinator = "{format_address(self.feed)}"\n  store = "store"\n'
            "  bulk_bytes_per_s = 8000",
        )
        root.start()
        await wait_until_reachable(root.listen)
        number = 0
        for region in self.regions:
            for _ in range(RELAYS_PER_REGION):
                number += 1
                parents = [await self._uplink(region, number, root.listen)]
                if number > 1:
                    other = self.nodes[f"relay-{self.rng.randrange(1, number)}"]
                    parents.append(await self._uplink(region, number, other.listen))
                listed = ", ".join(f'"{format_address(parent)}"' for parent in parents)
                node = self._node(f"relay-{number}", number, f'  role = "relay"\n  parents = [{listed}]')
                node.start()
                await wait_until_reachable(node.listen)

    def _parents(self) -> dict[int, tuple[Address, ...]]:
        """Return each director's parents in its region, as planned by the distribution tree's planner."""
        out: dict[int, tuple[Address, ...]] = {}
        if self.plan.shape is Shape.SINGLE:
            return {number: (self.feed,) for number in range(self.plan.directors)}
        for region_index in range(len(self.regions)):
            first = region_index * RELAYS_PER_REGION + 1
            relays = [f"relay-{n}" for n in range(first, first + RELAYS_PER_REGION)]
            numbers = range(region_index, self.plan.directors, len(self.regions))
            names = {f"d{n}": n for n in numbers}
            tree = plan_tree("root", relays, list(names), TreeLimits(max_children=2048))
            for name, number in names.items():
                out[number] = tuple(self.nodes[parent].listen for parent in tree[name])
        return out

    def _start_hosts(self) -> None:
        """Start the host processes. The witnesses, one director per region, have a separate process, so that
        the work of hundreds of other directors in the same process does not lengthen their delays."""
        parents = self._parents()
        others = [n for n in parents if n >= self.witnesses]
        groups = [list(range(self.witnesses))]
        groups += [[n for n in others if n % self.plan.hosts == host] for host in range(self.plan.hosts)]
        for group in groups:
            spec = HostSpec(self.plan.shape, {n: parents[n] for n in group}, self.plan.requests_per_s)
            self.hosts.append(self._spawn(host_main, spec))

    async def _start_full_director(self) -> None:
        """Start one complete director that receives the same events."""
        listen = (f"{self.base}.3.1", 5050)
        configuration = ujson.loads(CONFIG.read_text()) | {
            "listen": format_address(listen),
            "coordinator": format_address(self.feed),
            "known": {"index": 0, "updates": []},
        }
        (self.folder / "director.json").write_text(json.dumps(configuration))
        service = self.folder / "service.hcl"
        if self.plan.shape is Shape.TREE:
            parents = ", ".join(f'"{format_address(self.nodes[f"relay-{n}"].listen)}"' for n in (1, 2))
            service.write_text(f"distribution {{\n  parents = [{parents}]\n}}\n")
        names = {"RELAY_CONFIG": str(self.folder / "director.json"), "ONYXWICK_SERVICE": str(service)}
        self.full_director = subprocess.Popen(
            [sys.executable, "-m", "onyxwick"],
            env={**os.environ, **names},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        await wait_until_reachable(listen)

    # ---- events ---------------------------------------------------------------------------------------

    def _publish_event(self, payload: dict[str, Any]) -> None:
        self.index += 1
        assert self.coordinator is not None
        line = ujson.dumps({"index": self.index, **payload}, escape_forward_slashes=False)
        self.coordinator.pipe.send(("tell", line.encode() + b"\n"))

    def _purge(self) -> None:
        now = time.monotonic_ns()
        self.published.purges.append(now)
        self._publish_event({"evict": {"ref": f"{now:016x}", "unix_ms": time.time_ns() // 1_000_000}})

    def _change_list(self) -> None:
        now = time.monotonic_ns() // 1000 * 1000
        self.published.lists.append(now)
        row = self.rng.choice(rows(self.plan.caches)[2:]) | {"started_ms": time.time_ns() // 1_000_000}
        self._publish_event({"endpoints": {"version": now // 1000, "full": False, "servers": [row]}})

    def _change_document(self) -> None:
        now = time.monotonic_ns()
        self.published.documents.append(now)
        head = ujson.dumps({"published_ns": now, "pad": ""})
        text = ujson.dumps({"published_ns": now, "pad": "x" * max(0, self.plan.change_bytes - len(head))})
        name = f"doc-{len(self.published.documents) % DOC_COUNT}"
        for part in split_document(name, len(self.published.documents), text):
            line = encode_event(Cursor(0, 0), part).line
            self._publish_event({"document": ujson.loads(line)["document"]})

    async def _publish(self, seconds: float) -> None:
        """Publish purges and list changes at random times, and documents in bursts."""
        begin = time.monotonic()
        kinds = [(self.plan.purges_per_s, self._purge), (self.plan.list_changes_per_s, self._change_list)]
        due = [(self.rng.expovariate(rate), rate, act) for rate, act in kinds if rate > 0]
        bursts = [(n + 0.5) * seconds / self.plan.bursts for n in range(self.plan.bursts)]
        changes = self.plan.changes // max(1, self.plan.bursts) if self.plan.shape is Shape.TREE else 0
        while True:
            now = time.monotonic() - begin
            if now >= seconds:
                return
            while bursts and now >= bursts[0]:
                bursts.pop(0)
                for _ in range(changes):
                    self._change_document()
            for index, (at, rate, act) in enumerate(due):
                if now >= at:
                    act()
                    due[index] = (at + self.rng.expovariate(rate), rate, act)
            wait = min(0.01, max(0.0005, min(at for at, _, _ in due) - now)) if due else 0.01
            asked = time.monotonic()
            await asyncio.sleep(wait)
            self.lags.append((time.monotonic() - asked - wait) * 1e3)

    # ---- faults ---------------------------------------------------------------------------------------

    async def _inject_fault(self, seconds: float) -> None:
        await asyncio.sleep(seconds / 3)
        kind = self.plan.fault
        node = self.nodes.get("root" if kind == "publisher" else "relay-1")
        self.progress(f"fault: {kind}")
        if kind == "restart":
            chosen = {n for n in range(self.plan.directors) if n % 5 == 0}
            await asyncio.gather(*(host.ask("restart", chosen) for host in self.hosts))
        elif kind == "cut":
            await self._cut_region()
        elif kind == "pause" and node is not None:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.plan.cut_s)
            node.signal(signal.SIGCONT)
        elif kind in ("kill", "publisher") and node is not None and node.process is not None:
            node.signal(signal.SIGKILL)
            await asyncio.sleep(self.plan.cut_s)
            node.process.wait()
            node.start()
        self.progress("fault ended")

    async def _cut_region(self) -> None:
        direction = self.link_directions[self.regions[0]]
        direction.cut_there = direction.cut_back = True
        direction.changed()
        await asyncio.sleep(self.plan.cut_s)
        ages = [age for host in self.hosts for age in await host.ask("ages")]
        self.oldest_view_s = max(ages, default=0.0)
        direction.cut_there = direction.cut_back = False
        direction.changed()
        healed, missed = time.monotonic(), max(await self._positions())
        while min(await self._positions()) < missed:
            await asyncio.sleep(0.02)
        self.caught_up_s = time.monotonic() - healed

    # ---- the run --------------------------------------------------------------------------------------

    async def _positions(self) -> list[int]:
        rows_of_hosts = await asyncio.gather(*(host.ask("place") for host in self.hosts))
        return [position for row in rows_of_hosts for position in row]

    async def _wait_converged(self, seconds: float, numbers: int) -> float | None:
        """Return the seconds until all directors share a position with `numbers` events, else None."""
        begin = time.monotonic()
        while time.monotonic() - begin < seconds:
            positions = await self._positions()
            if len(set(positions)) == 1 and positions[0] & 0xFFFFFFFF >= numbers:
                return time.monotonic() - begin
            await asyncio.sleep(0.05)
        return None

    async def run(self) -> dict[str, Any]:
        """Run the fleet and return the report; all started processes have ended when it returns."""
        try:
            return await self._run()
        finally:
            self._stop_processes()
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _run(self) -> dict[str, Any]:
        self.coordinator = self._spawn(coordinator_main, self.feed)
        await wait_until_reachable(self.feed)
        self._publish_event({"endpoints": {"version": 0, "full": True, "servers": rows(self.plan.caches)}})
        if self.plan.shape is Shape.TREE:
            await self._start_tree()
        self._start_hosts()
        await self._start_full_director()
        started = await self._wait_converged(START_TIMEOUT_S, 1)
        if started is None:
            raise RuntimeError("not all directors received the first event before the start timeout")
        self.progress(f"{self.plan.directors} directors follow; publishing for {self.plan.seconds:g} s")
        await asyncio.sleep(2.0)
        before, used = await self._resource_usage(), machine_cpu_ticks()
        begin = time.monotonic()
        fault = asyncio.create_task(self._inject_fault(self.plan.seconds))
        await self._publish(self.plan.seconds)
        after, busy = await self._resource_usage(), machine_cpu_ticks()
        elapsed = time.monotonic() - begin
        await fault
        settled = await self._wait_converged(SETTLE_S, self.index if self.plan.shape is Shape.SINGLE else 1)
        reports = [await host.ask("report") for host in self.hosts]
        return self._build_report(
            reports, before, after, elapsed, (busy[0] - used[0]) / (busy[1] - used[1]), settled
        )

    async def _resource_usage(self) -> dict[str, float]:
        """Return the processor seconds of each process so far, and the bytes that all relays sent."""
        out = {"hosts": 0.0}
        for host in self.hosts:
            out["hosts"] += (await host.ask("cpu"))[0]
        assert self.coordinator is not None
        out["coordinator"] = (await self.coordinator.ask("cpu"))[0]
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                out[node.name] = cpu_s(node.process.pid)
                node.signal(signal.SIGUSR1)
        if self.full_director is not None:
            out["full"] = cpu_s(self.full_director.pid)
        await asyncio.sleep(STATUS_WAIT_S)
        out["sent_bytes"] = self._sent_bytes()
        return out

    def _build_report(
        self,
        reports: list[dict[str, Any]],
        before: dict[str, float],
        after: dict[str, float],
        elapsed: float,
        busy: float,
        settled: float | None,
    ) -> dict[str, Any]:
        lag = float(np.percentile(self.lags, 99)) if self.lags else 0.0
        starved = busy > STARVED_BUSY_SHARE or lag > STARVED_TIMER_LAG_MS
        share = {n: (after[n] - before[n]) / elapsed for n in after if n in before and n != "sent_bytes"}
        applied = AppliedEvents(reports)
        grown = sum(r["resident_kb"] - r["empty_kb"] for r in reports) / self.plan.directors
        out: dict[str, Any] = {
            "plan": {**asdict(self.plan), "shape": self.plan.shape.value},
            "starved": starved,
            "machine_busy": round(busy, 3),
            "lag_p99_ms": round(lag, 2),
            "published": {kind: len(times) for kind, times in asdict(self.published).items()},
            "lost": applied.lost(self.published.purges),
            "disordered": sum(r["disordered"] for r in reports),
            "settled_s": settled,
            "delay_ms": {kind.name.lower(): applied.delays(kind) for kind in ObservationKind},
            "witness_delay_ms": {k.name.lower(): applied.delays(k, self.witnesses) for k in ObservationKind},
            "cores": {name: round(value, 4) for name, value in share.items()},
            "core_share_a_director": round(share["hosts"] / self.plan.directors, 6),
            "full_director_share": round(share.get("full", 0.0), 6),
            "memory_kb_a_director": round(grown, 1),
            "full_director_kb": round(resident_kb(self.full_director.pid))
            if self.full_director is not None
            else 0,
            "largest_tables": largest_table_sizes(reports),
            "follower": sum_counts(reports, "follower"),
            "counts": sum_counts(reports, "counts"),
        }
        if self.plan.shape is Shape.TREE:
            out["nodes"] = [short_status(node.status()) for node in self.nodes.values()]
            out["bytes_per_s_a_director"] = round(
                (after["sent_bytes"] - before["sent_bytes"]) / elapsed / self.plan.directors, 1
            )
        if self.plan.fault == "cut":
            out["oldest_view_s"], out["caught_up_s"] = (
                round(self.oldest_view_s, 2),
                round(self.caught_up_s, 2),
            )
        if self.plan.fault == "restart":
            out["restarted_first_purge_ms"] = applied.after_restart()
        return out

    def _sent_bytes(self) -> int:
        """Return the bytes all relays sent by their last status; a killed one counts from its restart."""
        sent = 0
        for node in self.nodes.values():
            status = node.status()
            sent += int(status.get("sent_bytes", 0)) if status.get("role") == "relay" else 0
        return sent

    def _stop_processes(self) -> None:
        for host in self.hosts:
            host.end()
        if self.full_director is not None:
            self.full_director.terminate()
            self.full_director.wait(15)
        for node in self.nodes.values():
            node.end()
        if self.coordinator is not None:
            self.coordinator.end()
