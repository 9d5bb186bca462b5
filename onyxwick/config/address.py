"""Network addresses as configuration and wires write them: `HOST:PORT`."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError

Address = tuple[str, int]
"""Host and port, as the socket module takes them."""

PORT_LIMIT = 65_536
QUOTED_CHARACTERS = 64


class AddressError(OnyxwickError, ValueError):
    """A text is no address. `text` is what was found."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad address {text[:QUOTED_CHARACTERS]!r}")
        self.text = text


def format_address(address: Address) -> str:
    """An address as `HOST:PORT`."""
    return f"{address[0]}:{address[1]}"


def read_address(text: object) -> Address:
    """The address in `HOST:PORT`; AddressError where it is none."""
    host, separator, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number or not 0 < int(port) < PORT_LIMIT:
        raise AddressError(str(text))
    return host, int(port)
