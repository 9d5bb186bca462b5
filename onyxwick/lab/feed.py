"""The numbered events that directors are told: the list and purges, and what each start is told of them."""

from __future__ import annotations

import json
from typing import Any

from onyxwick.config.address import Address, format_address
from onyxwick.lab.machines import CoordinatorEmulator, Machine

UNKNOWN_FIELD = b"x"
HEAD_BYTES = 40
"""The field of an event with nothing else is found in its first bytes."""


def _is_unknown(event: bytes) -> bool:
    """Return whether an event has only the unknown field; the file of a start leaves it out."""
    return b'"%b":' % UNKNOWN_FIELD in event[:HEAD_BYTES]


def row_of(machine: Machine, state: str, address: Address | None = None) -> dict[str, Any]:
    """A machine's line of the list; `address`: where it is reached by who is told."""
    return {
        "id": machine.name,
        "addr": format_address(address or machine.address),
        "zone": machine.zone,
        "kind": machine.kind,
        "cell": 0,
        "state": state,
        "weight": machine.tier.capacity,
        "started_ms": machine.link.started // 1000,
    }


class Feed:
    """One coordinator's events from number 1 on."""

    def __init__(self, coordinator: CoordinatorEmulator) -> None:
        self.coordinator = coordinator
        self.index = 0
        self.first_events = 0  # told before the first start

    def tell(self, event: dict[str, Any]) -> None:
        self.index += 1
        self.coordinator.tell(json.dumps({"index": self.index, **event}).encode() + b"\n")

    def tell_unknown(self, value: bytes) -> None:
        """Tell an event that has only a field that no director knows, with this value as JSON."""
        self.index += 1
        self.coordinator.tell(b'{"index":%d,"%b":%b}\n' % (self.index, UNKNOWN_FIELD, value))

    def list(self, rows: list[dict[str, Any]], full: bool = False) -> None:
        self.tell({"endpoints": {"version": self.index + 1, "full": full, "servers": rows}})

    def purge(self, group: int, unix_us: int) -> None:
        self.tell({"evict": {"shard": group, "unix_ms": unix_us // 1000}})

    def begun(self) -> None:
        """What was told up to now is what a first start is told."""
        self.first_events = self.index

    def known(self) -> dict[str, Any]:
        """What the platform's file tells at a start. With the coordinator out of reach it is an old one."""
        reached = self.index if self.coordinator.server is not None else self.first_events
        events = [event for event in self.coordinator.events[:reached] if not _is_unknown(event)]
        return {"index": reached, "updates": [json.loads(event) for event in events]}
