"""Addresses as configuration and wires write them."""

from __future__ import annotations

Address = tuple[str, int]


def written(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def read_address(text: object) -> Address:
    """`HOST:PORT` as a pair; ValueError where it is none."""
    host, mark, port = str(text).rpartition(":")
    if not mark or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise ValueError(f"bad address {str(text)[:64]!r}")
    return host, int(port)
