"""A director without a service file loads no modules and opens no sockets or threads for disabled features.

The director is started with the `run` line of the platform's deploy file.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

from tests.exchange import FOLDER, ROOT

NEEDED_MODULES = {  # the project's own modules that a director without a service file needs
    "onyxwick",
    "onyxwick.__main__",
    "onyxwick.config",
    "onyxwick.config.address",
    "onyxwick.config.errors",
    "onyxwick.config.director",
    "onyxwick.configuration_reload",
    "onyxwick.core",
    "onyxwick.core.clock",
    "onyxwick.core.feed_freshness",
    "onyxwick.core.feed_gate",
    "onyxwick.core.memory_account",
    "onyxwick.net.close_report",
    "onyxwick.net.connection_memory",
    "onyxwick.net.memory_monitor",
    "onyxwick.net.task_race",
    "onyxwick.core.shutdown",
    "onyxwick.core.attempt_invariants",
    "onyxwick.core.attempt_runner",
    "onyxwick.core.context",
    "onyxwick.core.engine",
    "onyxwick.core.errors",
    "onyxwick.core.feed_intake",
    "onyxwick.core.invariant_model",
    "onyxwick.core.invariants",
    "onyxwick.core.request_runner",
    "onyxwick.core.request_table",
    "onyxwick.core.supervision",
    "onyxwick.core.termination",
    "onyxwick.core.timers",
    "onyxwick.core.request_lifecycle",
    "onyxwick.core.endpoints",
    "onyxwick.core.executed_ids",
    "onyxwick.core.reasons",
    "onyxwick.core.model",
    "onyxwick.core.backoff",
    "onyxwick.core.phase",
    "onyxwick.core.purge_lease",
    "onyxwick.core.send_guard",
    "onyxwick.core.stall_detector",
    "onyxwick.counters",
    "onyxwick.errors",
    "onyxwick.former_log_events",
    "onyxwick.interface",
    "onyxwick.interface.actions",
    "onyxwick.interface.endpoints",
    "onyxwick.interface.events",
    "onyxwick.interface.router",
    "onyxwick.interface.settings",
    "onyxwick.lifecycle",
    "onyxwick.logs",
    "onyxwick.net",
    "onyxwick.net.buffer",
    "onyxwick.net.accept_loop",
    "onyxwick.net.arrival_clock",
    "onyxwick.net.connection_shutdown",
    "onyxwick.net.fastcgi_parser",
    "onyxwick.net.lingering",
    "onyxwick.net.socket_state",
    "onyxwick.net.call_intake",
    "onyxwick.net.delivery",
    "onyxwick.net.cache_pool",
    "onyxwick.net.fastcgi_calls",
    "onyxwick.net.coordinator_feed",
    "onyxwick.net.errors",
    "onyxwick.net.fastcgi",
    "onyxwick.net.feed_gaps",
    "onyxwick.net.feed_lines",
    "onyxwick.net.feed_report",
    "onyxwick.net.feed_race",
    "onyxwick.net.feed_wire",
    "onyxwick.net.front",
    "onyxwick.net.listening",
    "onyxwick.net.connection_release",
    "onyxwick.net.peer_progress",
    "onyxwick.net.resp",
    "onyxwick.net.cache_connection",
    "onyxwick.net.cache_wire",
    "onyxwick.net.front_connection",
    "onyxwick.net.write_queue",
    "onyxwick.net.connection_slots",
    "onyxwick.routing",
    "onyxwick.routing.cache_selection",
    "onyxwick.routing.capacity",
    "onyxwick.routing.concurrency_limit",
    "onyxwick.routing.endpoints",
    "onyxwick.routing.fill_source",
    "onyxwick.routing.forwarding",
    "onyxwick.routing.hedging",
    "onyxwick.routing.latency",
    "onyxwick.routing.outcomes",
    "onyxwick.routing.outlier_detection",
    "onyxwick.routing.popularity",
    "onyxwick.routing.purge",
    "onyxwick.routing.rendezvous",
    "onyxwick.routing.retry",
    "onyxwick.routing.router",
    "onyxwick.routing.slow_start",
    "onyxwick.routing.state",
    "onyxwick.routing.timers",
    "onyxwick.routing.units",
    "onyxwick.settings",
    "onyxwick.start",
}
NEVER_LOADED = (
    "scipy",
    "numpy",
    "msgspec",
    "matplotlib",
    "lark",
    "dns",
    "click",
    "cryptography",
    "httptools",
)
_IMPORT_LINE = re.compile(r"import time:\s+\d+ \|\s+\d+ \|\s*(\S+)").match


def _run_line() -> str:
    """Return the `run` line of the deploy file, with this interpreter instead of the platform's."""
    line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert line.startswith("exec .venv/bin/python ")
    return str(line).replace(".venv/bin/python", sys.executable)


def test_the_platforms_run_line_loads_and_opens_nothing_for_disabled_features(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text((FOLDER / "config.json").read_text().replace("127.77.0.1:15050", "127.78.0.1:15050"))
    settings = {"RELAY_CONFIG": str(config), "PYTHONPROFILEIMPORTTIME": "1", "TMPDIR": str(tmp_path)}
    settings["UV_THREADPOOL_SIZE"] = "1"  # the event loop's thread pool, which the first connection starts
    environment = {
        key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "ONYXWICK_"))
    } | settings
    program = subprocess.Popen(
        ["/bin/sh", "-c", _run_line()], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )
    try:
        assert program.stderr is not None
        modules: set[str] = set()
        for line in program.stderr:
            if found := _IMPORT_LINE(line):
                modules.add(found[1])
            if "coordinator lost" in line:
                break  # it serves and has tried the feed once, so it has started everything that it starts
        proc = Path(f"/proc/{program.pid}")
        threads = list((proc / "task").iterdir())
        links = [os.readlink(fd) for fd in (proc / "fd").iterdir() if fd.exists()]
    finally:
        program.terminate()
        program.communicate(timeout=20)
    own = {name for name in modules if name.split(".")[0] == "onyxwick"}
    assert own <= NEEDED_MODULES, f"loaded though not needed: {sorted(own - NEEDED_MODULES)}"
    assert not {name for name in modules if name.split(".")[0] in NEVER_LOADED}
    assert len(threads) == 2, "expected the main thread and one thread of the event loop's pool"
    sockets = [link for link in links if link.startswith("socket:")]
    assert len(sockets) <= 6, "expected the listener, the feed and the event loop's own pair"
    assert program.returncode == 0
