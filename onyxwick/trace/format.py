"""The trace format: frames and blocks to bytes and back. See docs/trace-format.md.

Input and output are bytes; no I/O except in `read_opening`. A frame is a head in MessagePack and a body in
zstandard, with a CRC-32C over both. Every size that a file claims is checked against a bound before memory
is allocated for it; what does not hold raises `TraceDamagedError`.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterable
from typing import Any, BinaryIO, NamedTuple

import crc32c
import msgspec
import zstandard

from onyxwick.trace.model import (
    ATTEMPT_COLUMNS,
    COLUMN_BYTES,
    FORMAT_MAJOR,
    FORMAT_MINOR,
    REQUEST_COLUMNS,
    TraceDamagedError,
    TraceError,
)

FILE_MAGIC = b"OWTRACE\n"
BLOCK = b"OWB1"
INDEX = b"OWX1"
END = b"OWTREND\n"
FRAME = struct.Struct("<4sIIII")
"""Magic, bytes of the head, of the body, of the decompressed body, checksum."""
OPENING = struct.Struct("<8sII")
"""Magic, bytes of the header, checksum."""
CLOSING = struct.Struct("<Q8s")
"""Offset of the index, magic."""
MAX_HEAD_BYTES = 1 << 20
MAX_BODY_BYTES = 16 << 20
MAX_RAW_BYTES = 64 << 20
"""Of a decompressed body."""
MAX_STRINGS = 65_535
MAX_ROWS = 1 << 20
COMPRESSION_LEVEL = 3
BLOOM_HASHES = 4
BLOOM_BITS_PER_KEY = 8
"""With four hashes one absent key in forty is taken for present."""
MIN_BLOOM_BITS = 64


class Notification(NamedTuple):
    """What a director was notified of, or reported of itself. `data` has the fields of its kind."""

    kind: int
    at_us: int
    data: dict[str, Any]


class BlockHead(msgspec.Struct, omit_defaults=True):
    """What can be read of a block without decompressing it. The names of the fields are stored."""

    lives: int = 0
    """Number of requests."""
    attempts: int = 0
    first: int = 0
    """Unix microseconds: the earliest arrival."""
    last: int = 0
    """The latest end."""
    classes: list[str] = []
    tenants: list[str] = []
    cells: list[str] = []
    members: list[str] = []
    verdicts: int = 0
    """One bit for each verdict that occurs."""
    bloom: bytes = b""
    """Bloom filter of object and request ids."""
    dropped: int = 0
    """Requests left out since the block before."""
    open: int = 0
    """Open requests when it was closed."""
    told: int = 0
    """Number of notifications."""


class BlockBody(msgspec.Struct):
    """The content of a block. The names of the fields are stored."""

    strings: list[str]
    lives: dict[str, bytes]
    """Columns of the requests."""
    attempts: dict[str, bytes]
    told: list[Notification]


class FileHeader(msgspec.Struct):
    """The header of a file. The names of the fields are stored."""

    version: tuple[int, int]
    director: str
    run: str
    """New at each start of a director."""
    unix_us: int
    mono_us: int
    classes: list[dict[str, Any]]
    rules: dict[str, float]
    clocks: dict[str, dict[str, float]] = {}
    """Of a merged file, by director: offset_us, drift_ppm, doubt_us and more."""


class BlockIndexEntry(msgspec.Struct, array_like=True):
    """Where a block is in the file, and its head."""

    offset: int
    size: int
    head: BlockHead


_heads = msgspec.msgpack.Decoder(BlockHead)
_bodies = msgspec.msgpack.Decoder(BlockBody)
_headers = msgspec.msgpack.Decoder(FileHeader)
_indexes = msgspec.msgpack.Decoder(list[BlockIndexEntry])
encode = msgspec.msgpack.Encoder().encode


def mix64(key: int) -> int:
    """The 64-bit finaliser of MurmurHash3 (Appleby 2011)."""
    key = ((key ^ (key >> 33)) * 0xFF51AFD7ED558CCD) & 0xFFFFFFFFFFFFFFFF
    key = ((key ^ (key >> 33)) * 0xC4CEB9FE1A85EC53) & 0xFFFFFFFFFFFFFFFF
    return key ^ (key >> 33)


class Bloom:
    """A Bloom filter of 64-bit keys (Bloom 1970): may report an absent key as present, never the reverse.

    Two hashes stand for all, as in Kirsch and Mitzenmacher 2006, section 4.
    """

    def __init__(self, bits: bytes | int) -> None:
        """From stored bits, or empty with a number of bits."""
        self.bits = bytearray(max(8, -(-bits // 8))) if isinstance(bits, int) else bytearray(bits)

    def _places(self, key: int) -> Iterable[int]:
        hashed = mix64(key)
        size = len(self.bits) * 8
        step = hashed >> 32 | 1
        at = hashed & 0xFFFFFFFF
        for _ in range(BLOOM_HASHES):
            yield at % size
            at += step

    def add(self, key: int) -> None:
        """Add a key."""
        for place in self._places(key):
            self.bits[place >> 3] |= 1 << (place & 7)

    def __contains__(self, key: int) -> bool:
        """Whether a key may have been added; always true of a filter that was not stored."""
        if not self.bits:
            return True
        return all(self.bits[place >> 3] >> (place & 7) & 1 for place in self._places(key))


def bloom_of(keys: Iterable[int]) -> bytes:
    """The stored form of a filter of these keys."""
    unique = set(keys)
    bloom = Bloom(max(MIN_BLOOM_BITS, len(unique) * BLOOM_BITS_PER_KEY))
    for key in unique:
        bloom.add(key)
    return bytes(bloom.bits)


def encode_frame(magic: bytes, head: bytes, raw: bytes) -> bytes:
    """A frame of a head and a body that is not yet compressed."""
    body = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    check = crc32c.crc32c(body, crc32c.crc32c(head))
    return FRAME.pack(magic, len(head), len(body), len(raw), check) + head + body


def encode_opening(header: FileHeader) -> bytes:
    """The first bytes of a file."""
    data = encode(header)
    return OPENING.pack(FILE_MAGIC, len(data), crc32c.crc32c(data)) + data


def read_opening(file: BinaryIO) -> tuple[FileHeader, int]:
    """The header, and the offset of the first frame. TraceError says what is wrong."""
    data = file.read(OPENING.size)
    if len(data) < OPENING.size or not data.startswith(FILE_MAGIC):
        raise TraceError("no trace: it does not begin as one")
    _, size, check = OPENING.unpack(data)
    text = file.read(size) if size <= MAX_HEAD_BYTES else b""
    if len(text) < size:
        raise TraceError("no trace: its header is cut")
    if crc32c.crc32c(text) != check:
        raise TraceError("no trace: its header is damaged")
    try:
        version = msgspec.msgpack.decode(text).get("version", (0, 0))
        if version[0] > FORMAT_MAJOR:
            known = f"{FORMAT_MAJOR}.{FORMAT_MINOR}"
            raise TraceError(f"format {version[0]}.{version[1]} is newer than {known}, known here")
        return _headers.decode(text), OPENING.size + size
    except (msgspec.MsgspecError, AttributeError, TypeError, IndexError, RecursionError) as error:
        raise TraceError(f"no trace: its header cannot be read: {error}") from None


def read_frame_sizes(data: bytes) -> tuple[bytes, int, int, int, int]:
    """Magic, sizes of head, body and decompressed body, checksum. Damaged if no frame can have them."""
    if len(data) < FRAME.size:
        raise TraceDamagedError("a frame is cut")
    magic, head, body, raw, check = FRAME.unpack_from(data)
    if magic not in (BLOCK, INDEX):
        raise TraceDamagedError("no frame begins here")
    if head > MAX_HEAD_BYTES or body > MAX_BODY_BYTES or raw > MAX_RAW_BYTES:
        raise TraceDamagedError(f"a frame claims {head}, {body} and {raw} bytes")
    return magic, head, body, raw, check


def verify_checksum(head: bytes, body: bytes, check: int) -> None:
    """TraceDamagedError if the checksum of a frame does not match."""
    if crc32c.crc32c(body, crc32c.crc32c(head)) != check:
        raise TraceDamagedError("a frame's checksum does not hold")


def read_head(data: bytes) -> BlockHead:
    """The head of a block; TraceDamagedError if it cannot be read."""
    try:
        return _heads.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"a block's head cannot be read: {error}") from None


def decompress(body: bytes, raw: int) -> bytes:
    """The decompressed body, of the size that the frame claims, which the caller has bounded."""
    try:
        out = zstandard.ZstdDecompressor().decompress(body, max_output_size=max(1, raw))
    except zstandard.ZstdError as error:
        raise TraceDamagedError(f"a block cannot be unpacked: {error}") from None
    if len(out) != raw:
        raise TraceDamagedError("a block unpacks to another size than told")
    return out


def read_body(raw: bytes, head: BlockHead) -> BlockBody:
    """The body of a block; TraceDamagedError unless each column has the length that the head claims."""
    try:
        body = _bodies.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"a block cannot be read: {error}") from None
    if len(body.strings) > MAX_STRINGS or max(head.lives, head.attempts) > MAX_ROWS:
        raise TraceDamagedError("a block holds too much")
    _check_lengths(body.lives, REQUEST_COLUMNS, head.lives)
    _check_lengths(body.attempts, ATTEMPT_COLUMNS, head.attempts)
    return body


def _check_lengths(columns: dict[str, bytes], types: dict[str, str], rows: int) -> None:
    for name, code in types.items():
        if len(columns.get(name, b"")) != rows * COLUMN_BYTES[code]:
            raise TraceDamagedError(f"column '{name}' does not hold {rows} values")


def encode_index(entries: list[BlockIndexEntry], offset: int) -> bytes:
    """The last bytes of a file: its index and where it is.

    The index leaves the Bloom filters to the blocks: they are most of a head, and only a search for one id
    needs them.
    """
    bare = [BlockIndexEntry(e.offset, e.size, msgspec.structs.replace(e.head, bloom=b"")) for e in entries]
    return encode_frame(INDEX, b"", encode(bare)) + CLOSING.pack(offset, END)


def read_index(raw: bytes) -> list[BlockIndexEntry]:
    """The entries of an index; TraceDamagedError if it cannot be read."""
    try:
        return _indexes.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"the index cannot be read: {error}") from None


def empty_columns(types: dict[str, str]) -> dict[str, array[int]]:
    """Columns of these names and type codes, to be filled."""
    return {name: array(code) for name, code in types.items()}
