"""Writes a trace of the director's decisions, either always or for a limited time after SIGUSR2.

Times are seconds of the event loop's clock.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config.service import TraceConfig

if TYPE_CHECKING:
    from onyxwick.core import RequestEngine

log = logs.get()
TICK_INTERVAL_S = 0.25
US_PER_S = 1e6


class TraceControl:
    """Starts and stops the tracer of one director."""

    def __init__(self, config: TraceConfig, director_name: str) -> None:
        self.config = config
        self.director_name = director_name
        self.requested_until_s = math.inf if config.starts_enabled else 0.0

    def request(self) -> None:
        """Request a trace from now on, for the duration that the service file sets (handler of SIGUSR2)."""
        until_s = asyncio.get_running_loop().time() + self.config.signal_duration_us / US_PER_S
        self.requested_until_s = max(self.requested_until_s, until_s)

    async def run(self, engine: RequestEngine) -> None:
        """Start and stop the tracer as requested, until cancelled."""
        loop = asyncio.get_running_loop()
        context = engine.context
        try:
            while True:
                is_requested = loop.time() < self.requested_until_s
                if is_requested and context.tracer is None:
                    self._start(engine)
                elif not is_requested and context.tracer is not None:
                    _stop(engine)
                await asyncio.sleep(TICK_INTERVAL_S)
                if context.tracer is not None:
                    context.tracer.tick(engine.now())
        finally:
            _stop(engine)

    def _start(self, engine: RequestEngine) -> None:
        from onyxwick.trace.decision_tracer import DecisionTracer
        from onyxwick.trace.sink import SinkLimits

        config = self.config
        limits = SinkLimits(config.max_file_bytes, config.max_file_age_us / US_PER_S, config.max_total_bytes)
        now_us = engine.now()
        tracer = DecisionTracer(engine.settings, self.director_name, config.folder, limits, now_us)
        engine.context.tracer = tracer
        tracer.on_endpoints_known(now_us, engine.endpoints.listed.values())
        log.info("trace started", folder=str(config.folder))


def _stop(engine: RequestEngine) -> None:
    tracer = engine.context.tracer
    engine.context.tracer = None
    if tracer is not None:
        tracer.stop(engine.now())
