"""The process of one node of the distribution tree (a publisher or a relay), with its signal handlers."""

from __future__ import annotations

import asyncio
import signal

import ujson

from onyxwick import logs
from onyxwick.config.distribution import NodeConfig, Role
from onyxwick.net.publisher_node import PublisherNode
from onyxwick.net.relay_node import RelayNode

log = logs.get()


async def run(config: NodeConfig) -> None:
    """Run one node until SIGTERM or SIGINT.

    The node prints its status on SIGUSR1 and when it ends, and reads its documents again on SIGHUP. Raises
    StoreError, ConfigError or OSError if it cannot serve.
    """
    node = PublisherNode(config) if config.role is Role.PUBLISHER else RelayNode(config)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()

    def print_status() -> None:
        print(ujson.dumps(node.status(), escape_forward_slashes=False), flush=True)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, print_status)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    serving = loop.create_task(node.run())
    stopped = loop.create_task(stopping.wait())
    log.info("distribution node", name=config.name, role=config.role.value)
    try:
        await asyncio.wait((serving, stopped), return_when=asyncio.FIRST_COMPLETED)
        if serving.done():
            serving.result()
    finally:
        for task in (serving, stopped):
            task.cancel()
        await asyncio.gather(serving, stopped, return_exceptions=True)
        print_status()
        node.close()
