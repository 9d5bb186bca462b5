"""Network addresses in the form `HOST:PORT`, which configuration files and wire protocols use."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError

Address = tuple[str, int]
"""Host and port, in the form that the socket module expects."""

PORT_LIMIT = 65_536
QUOTED_CHARACTERS = 64


class AddressError(OnyxwickError, ValueError):
    """A text is not a valid address. `text` holds the rejected text."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad address {text[:QUOTED_CHARACTERS]!r}")
        self.text = text


def format_address(address: Address) -> str:
    """Return the address in the form `HOST:PORT`."""
    return f"{address[0]}:{address[1]}"


def read_address(text: object) -> Address:
    """Parse `HOST:PORT`. Raises AddressError if the text is not an address."""
    host, separator, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number or not 0 < int(port) < PORT_LIMIT:
        raise AddressError(str(text))
    return host, int(port)
