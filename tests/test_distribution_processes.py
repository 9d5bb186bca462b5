"""The distribution tree as processes: a publisher, three relays and two directors.

The faults are killed processes, a paused relay, a cut link and a follower that reads nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

from onyxwick.config.address import Address, format_address
from onyxwick.core.clock import wall_us
from onyxwick.counters import Counters
from onyxwick.distribution.follower import Follower
from onyxwick.distribution.model import FeedEvent, Freshness, PurgeEvent
from onyxwick.distribution.replica import FeedSnapshot, PurgeTable
from onyxwick.lab.faults.relay import LinkDirection
from onyxwick.lab.faults.relay import LinkRelay as LinkRelay
from onyxwick.lab.machines import CoordinatorEmulator
from onyxwick.lab.programs import Program
from onyxwick.lab.scale.processes import wait_until_reachable
from onyxwick.lab.scale.sweeps import CONFIG, rows
from onyxwick.net.subscription import ReconnectDelays, Subscription

PATIENCE_S = 20.0
TOKEN = "a-token-of-the-tests-alone"
BASE = "127.79"
ROOT, UPLINK = (f"{BASE}.1.1", 7400), (f"{BASE}.1.9", 7400)
RELAYS = [(f"{BASE}.1.{n}", 7400) for n in (2, 3, 4)]
FEED = (f"{BASE}.1.8", 7070)


class RecordingSink:
    """A sink that records the purges that a director would apply, in order."""

    def __init__(self) -> None:
        self.purges: list[str] = []
        self.documents = 0
        self.table = PurgeTable()

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        if isinstance(event.payload, PurgeEvent) and self.table.add(event.payload):
            assert event.payload.key.object_id is not None
            self.purges.append(event.payload.key.object_id)

    def install(self, snapshot: FeedSnapshot) -> None:
        pass

    def refresh(self, freshness: Freshness) -> None:
        pass


class ProcessTree:
    """All processes of one test, and followers in the test's own process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.feed = CoordinatorEmulator(FEED, wall_us)
        self.index = 0
        self.nodes: dict[str, subprocess.Popen[bytes]] = {}
        self.directors: list[Program] = []
        self.admins: list[Address] = []
        self.recorders: list[RecordingSink] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.uplink = LinkDirection("relay-0", "root")
        self.sent: list[str] = []

    def publish(self, payload: dict[str, Any]) -> None:
        self.index += 1
        self.feed.tell(json.dumps({"index": self.index, **payload}).encode() + b"\n")

    def publish_purge(self) -> None:
        self.sent.append(f"{len(self.sent):016x}")
        self.publish({"evict": {"ref": self.sent[-1], "unix_ms": wall_us() // 1000}})

    async def publish_purges(self, count: int) -> None:
        for _ in range(count):
            self.publish_purge()
            await asyncio.sleep(0.005)

    def publish_list(self, caches: int) -> None:
        self.publish({"endpoints": {"version": caches, "full": True, "servers": rows(caches)}})

    # ---- processes ----------------------------------------------------------------------------------------

    def start(self, name: str, listen: Address, fields: str) -> None:
        path = self.folder / f"{name}.hcl"
        path.write_text(
            f'distribution {{\n  name = "{name}"\n  listen = "{format_address(listen)}"\n{fields}\n}}\n'
        )
        self.start_node(name)

    def start_node(self, name: str) -> None:
        out = (self.folder / f"{name}.out").open("ab")
        self.nodes[name] = subprocess.Popen(
            [sys.executable, "-m", "onyxwick", "distribution", "run", str(self.folder / f"{name}.hcl")],
            stdout=out,
            stderr=out,
        )

    def status(self, name: str) -> dict[str, Any]:
        lines = (self.folder / f"{name}.out").read_text().splitlines()
        rows_of_node = [json.loads(line) for line in lines if line.startswith('{"name"')]
        return dict(next(row for row in reversed(rows_of_node) if "history" in row))

    async def director(self, number: int, *parents: Address) -> None:
        listen, admin = (f"{BASE}.2.{number}", 5050), (f"127.79.3.{number}", 8053)
        answers = json.loads(CONFIG.read_text()) | {
            "listen": format_address(listen),
            "coordinator": format_address(FEED),
        }
        (self.folder / f"d{number}.json").write_text(json.dumps(answers))
        (self.folder / "token").write_text(TOKEN)
        listed = ", ".join(f'"{format_address(parent)}"' for parent in parents)
        service = self.folder / f"d{number}.hcl"
        service.write_text(
            f"distribution {{\n  parents = [{listed}]\n}}\n"
            f'admin {{\n  listen = "{format_address(admin)}"\n  token_file = "token"\n}}\n'
            'tenant "acme" {\n  quota_per_s = 10\n}\n'
        )
        names = {"RELAY_CONFIG": str(self.folder / f"d{number}.json"), "ONYXWICK_SERVICE": str(service)}
        program = Program(f"d{number}", self.folder, listen, names)
        self.directors.append(program)
        self.admins.append(admin)
        await program.start()
        await wait_until_reachable(admin)

    async def api(self, admin: Address, path: str) -> dict[str, Any]:
        reader, writer = await asyncio.open_connection(*admin)
        head = (
            f"GET {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {TOKEN}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode())
        answer = await reader.readuntil(b"\r\n\r\n")
        length = next(line for line in answer.lower().split(b"\r\n") if line.startswith(b"content-length"))
        body = await reader.readexactly(int(length.split(b":")[1]))
        writer.close()
        return dict(json.loads(body))

    def follow(self, *parents: Address) -> RecordingSink:
        recorder = RecordingSink()
        follower = Follower(len(parents), ReconnectDelays(len(self.recorders), wall_us()))
        subscription = Subscription(follower, parents, recorder, Counters())
        self.recorders.append(recorder)
        self.tasks.append(asyncio.get_running_loop().create_task(subscription.run()))
        return recorder

    async def until(self, true: Callable[[], bool], what: str) -> None:
        end = time.monotonic() + PATIENCE_S
        while not true():
            assert time.monotonic() < end, what
            await asyncio.sleep(0.02)

    async def members(self, count: int) -> None:
        """Wait until each director lists `count` members."""
        end = time.monotonic() + PATIENCE_S
        while True:
            answers = [await self.api(admin, "/health") for admin in self.admins]
            if all(row["members"] == count for row in answers):
                return
            assert time.monotonic() < end, f"members: {answers}"
            await asyncio.sleep(0.05)

    async def expect_all_purges(self, what: str) -> None:
        await self.until(lambda: all(len(r.purges) >= len(self.sent) for r in self.recorders), what)
        for recorder in self.recorders:
            assert recorder.purges == self.sent, f"{what}: each purge is applied once, in order"

    async def set_up(self) -> None:
        await self.feed.listen()
        self.publish_list(3)
        (self.folder / "quotas.json").write_text('{"quotas": {"acme": 20}}')
        (self.folder / "bulk").write_text("x")
        self.start(
            "root",
            ROOT,
            f'  role = "publisher"\n  coordinator = "{format_address(FEED)}"\n  store = "store"\n'
            "  bulk_bytes_per_s = 4000000\n"
            '  document "quotas" {\n    file = "quotas.json"\n  }\n'
            '  document "bulk" {\n    file = "bulk"\n  }',
        )
        await LinkRelay(self.uplink, UPLINK, ROOT, random.Random(1)).start()
        for number, (listen, parents) in enumerate(
            zip(RELAYS, ((UPLINK,), (ROOT, RELAYS[0]), (ROOT, RELAYS[1])), strict=True)
        ):
            listed = ", ".join(f'"{format_address(parent)}"' for parent in parents)
            self.start(f"relay-{number}", listen, f'  role = "relay"\n  parents = [{listed}]')
        await self.director(1, RELAYS[0], RELAYS[1])
        await self.director(2, RELAYS[1], RELAYS[2])
        for number in range(4):
            self.follow(RELAYS[number % 3], RELAYS[(number + 1) % 3])
        await self.members(5)

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        wrong = [await program.end() for program in self.directors]
        for node in self.nodes.values():
            with contextlib.suppress(ProcessLookupError):
                node.send_signal(signal.SIGCONT)
                node.terminate()
        for node in self.nodes.values():
            node.wait(PATIENCE_S)
        await self.feed.mute()
        assert wrong == ["", ""], "both directors exit cleanly"


async def _kill_relay_during_events(tree: ProcessTree) -> None:
    publishing = asyncio.create_task(tree.publish_purges(120))
    await asyncio.sleep(0.3)
    tree.nodes["relay-0"].kill()
    tree.nodes["relay-0"].wait()
    await publishing
    await tree.expect_all_purges("relay killed")
    tree.publish_list(7)
    await tree.members(9)
    tree.start_node("relay-0")


async def _pause_relay(tree: ProcessTree) -> None:
    tree.nodes["relay-1"].send_signal(signal.SIGSTOP)
    await tree.publish_purges(40)
    await tree.expect_all_purges("relay paused")
    tree.nodes["relay-1"].send_signal(signal.SIGCONT)
    tree.publish_list(4)
    await tree.members(6)


async def _cut_uplink(tree: ProcessTree) -> None:
    tree.uplink.cut_there = tree.uplink.cut_back = True
    tree.uplink.changed()
    await tree.publish_purges(40)
    await tree.expect_all_purges("uplink cut: its followers connect to another parent")
    tree.uplink.cut_there = tree.uplink.cut_back = False
    tree.uplink.changed()


async def _restart_publisher(tree: ProcessTree) -> None:
    tree.nodes["root"].kill()
    tree.nodes["root"].wait()
    ages = [int((await tree.api(admin, "/health"))["feed_age_ms"]) for admin in tree.admins]
    assert all(age >= 0 for age in ages)
    await tree.publish_purges(20)  # to the coordinator, while no publisher runs
    tree.start_node("root")
    await tree.expect_all_purges("publisher killed and restarted from its disk")


async def _fill_subscriber_queue(tree: ProcessTree) -> None:
    stuck = socket.socket()
    stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stuck.connect(RELAYS[2])
    stuck.sendall(b"follow 0\n")
    for number in range(12):
        (tree.folder / "bulk").write_text(f"{number}" * 500_000)
        tree.nodes["root"].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.15)
        tree.publish_purge()
    await tree.expect_all_purges("a follower that reads nothing must not delay the others")
    tree.nodes["relay-2"].send_signal(signal.SIGUSR1)
    await asyncio.sleep(0.3)
    answers = tree.status("relay-2")
    assert answers["log_bytes"] <= 4_194_304
    assert answers["behind"] >= 1, "the follower that reads nothing must be behind"
    stuck.close()


async def _publish_documents(tree: ProcessTree) -> None:
    async def quota_is(value: float) -> None:
        end = time.monotonic() + PATIENCE_S
        while True:
            answers = [await tree.api(admin, "/tenants/acme") for admin in tree.admins]
            if all(row["quota_per_s"] == value for row in answers):
                return
            assert time.monotonic() < end, str(answers)
            await asyncio.sleep(0.05)

    await quota_is(20)
    quotas = tree.folder / "quotas.json"
    for text, value in (('{"quotas": {"acme": -1}}', 20), ('{"quotas": {"acme": 35, "other": 1}}', 35)):
        quotas.write_text(text)
        tree.nodes["root"].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        await quota_is(value)


def test_a_tree_of_processes_loses_and_repeats_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        tree = ProcessTree(tmp_path)
        try:
            await tree.set_up()
            await tree.publish_purges(20)
            await tree.expect_all_purges("no faults")
            await _publish_documents(tree)
            await _kill_relay_during_events(tree)
            await _pause_relay(tree)
            await _cut_uplink(tree)
            await _restart_publisher(tree)
            await _fill_subscriber_queue(tree)
        finally:
            await tree.close()

    uvloop.run(main())


def test_a_node_that_cannot_run_says_why(tmp_path: Path) -> None:
    path = tmp_path / "node.hcl"
    named = 'distribution {\n  name = "a"\n  role = "%s"\n  listen = "%s"\n%s\n}\n'
    cases = {
        'distribution {\n  role = "relays"\n}\n': "did you mean 'relay'",
        named % ("relay", "127.0.0.1:1", "  parents = []"): "0 addresses",
        named % ("publisher", "127.0.0.1:1", "  purge_retention = 60"): '60 has no unit; did you mean "60ms"',
        named % ("relay", "203.0.113.1:7400", '  parents = ["127.0.0.1:2"]'): "node 'a'",
    }
    for text, expected in cases.items():
        path.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "onyxwick", "distribution", "run", str(path)],
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
        )
        assert done.returncode == 2, done.stderr
        assert expected in done.stderr
