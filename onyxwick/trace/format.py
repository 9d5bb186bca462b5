"""Encodes and decodes the frames and blocks of the trace format. See docs/trace-format.md.

The functions work on bytes and do no I/O, except `read_opening`. A frame is a head in MessagePack and a body
in zstandard, with a CRC-32C over both. Every size stated in a file is checked against a bound before memory
is allocated for it. Data that fails a check raises `TraceDamagedError`.
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
"""Start of a frame: magic, size of the head, of the body and of the decompressed body in bytes, checksum."""
OPENING = struct.Struct("<8sII")
"""Start of a file: magic, size of the header in bytes, checksum."""
CLOSING = struct.Struct("<Q8s")
"""End of a file: offset of the index, magic."""
MAX_HEAD_BYTES = 1 << 20
MAX_BODY_BYTES = 16 << 20
MAX_RAW_BYTES = 64 << 20
"""Maximum size of a decompressed body."""
MAX_STRINGS = 65_535
MAX_ROWS = 1 << 20
COMPRESSION_LEVEL = 3
BLOOM_HASHES = 4
BLOOM_BITS_PER_KEY = 8
"""Size of a Bloom filter. With four hashes, it reports one in forty absent keys as present."""
MIN_BLOOM_BITS = 64


class Notification(NamedTuple):
    """A notification that a director received, or a report on itself. `data` has the fields of its kind."""

    kind: int
    at_us: int
    data: dict[str, Any]


class BlockHead(msgspec.Struct, omit_defaults=True):
    """The part of a block that can be read without decompression. The names of the fields are stored."""

    lives: int = 0
    """Number of requests."""
    attempts: int = 0
    first: int = 0
    """The earliest arrival or notification, in Unix microseconds."""
    last: int = 0
    """The latest final answer or notification, in Unix microseconds."""
    classes: list[str] = []
    tenants: list[str] = []
    cells: list[str] = []
    members: list[str] = []
    verdicts: int = 0
    """Bit mask of the verdicts that occur."""
    bloom: bytes = b""
    """Bloom filter of the object and request ids."""
    dropped: int = 0
    """Number of requests omitted since the previous block."""
    open: int = 0
    """Number of requests that were open when the block was closed."""
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
    """Random id of the director's run, new at each start."""
    unix_us: int
    mono_us: int
    classes: list[dict[str, Any]]
    rules: dict[str, float]
    clocks: dict[str, dict[str, float]] = {}
    """In a merged file, by director: offset_us, drift_ppm, doubt_us and more."""


class BlockIndexEntry(msgspec.Struct, array_like=True):
    """The offset and size of a block in the file, in bytes, and its head."""

    offset: int
    size: int
    head: BlockHead


_heads = msgspec.msgpack.Decoder(BlockHead)
_bodies = msgspec.msgpack.Decoder(BlockBody)
_headers = msgspec.msgpack.Decoder(FileHeader)
_indexes = msgspec.msgpack.Decoder(list[BlockIndexEntry])
encode = msgspec.msgpack.Encoder().encode


def mix64(key: int) -> int:
    """Mix a 64-bit key with the finaliser of MurmurHash3 (Appleby 2011)."""
    key = ((key ^ (key >> 33)) * 0xFF51AFD7ED558CCD) & 0xFFFFFFFFFFFFFFFF
    key = ((key ^ (key >> 33)) * 0xC4CEB9FE1A85EC53) & 0xFFFFFFFFFFFFFFFF
    return key ^ (key >> 33)


class Bloom:
    """A Bloom filter of 64-bit keys (Bloom 1970): may report an absent key as present, never the reverse.

    All hashes are derived from two, as in Kirsch and Mitzenmacher 2006, section 4.
    """

    def __init__(self, bits: bytes | int) -> None:
        """Create a filter from stored bits, or an empty filter with the given number of bits."""
        self.bits = bytearray(max(8, -(-bits // 8))) if isinstance(bits, int) else bytearray(bits)

    def _bit_positions(self, key: int) -> Iterable[int]:
        hashed = mix64(key)
        size = len(self.bits) * 8
        step = hashed >> 32 | 1
        at = hashed & 0xFFFFFFFF
        for _ in range(BLOOM_HASHES):
            yield at % size
            at += step

    def add(self, key: int) -> None:
        """Add a key."""
        for position in self._bit_positions(key):
            self.bits[position >> 3] |= 1 << (position & 7)

    def __contains__(self, key: int) -> bool:
        """Return whether a key may have been added; always true if the filter was not stored."""
        if not self.bits:
            return True
        return all(self.bits[position >> 3] >> (position & 7) & 1 for position in self._bit_positions(key))


def bloom_of(keys: Iterable[int]) -> bytes:
    """Return the stored form of a filter with these keys."""
    unique = set(keys)
    bloom = Bloom(max(MIN_BLOOM_BITS, len(unique) * BLOOM_BITS_PER_KEY))
    for key in unique:
        bloom.add(key)
    return bytes(bloom.bits)


def encode_frame(magic: bytes, head: bytes, raw: bytes) -> bytes:
    """Encode a frame from a head and an uncompressed body."""
    body = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    check = crc32c.crc32c(body, crc32c.crc32c(head))
    return FRAME.pack(magic, len(head), len(body), len(raw), check) + head + body


def encode_opening(header: FileHeader) -> bytes:
    """Encode the first bytes of a file, with its header."""
    data = encode(header)
    return OPENING.pack(FILE_MAGIC, len(data), crc32c.crc32c(data)) + data


def read_opening(file: BinaryIO) -> tuple[FileHeader, int]:
    """Return the header and the offset of the first frame. Raises TraceError if the header is invalid."""
    data = file.read(OPENING.size)
    if len(data) < OPENING.size or not data.startswith(FILE_MAGIC):
        raise TraceError("not a trace file: the magic number is missing")
    _, size, check = OPENING.unpack(data)
    text = file.read(size) if size <= MAX_HEAD_BYTES else b""
    if len(text) < size:
        raise TraceError("not a trace file: the header is truncated or too large")
    if crc32c.crc32c(text) != check:
        raise TraceError("not a trace file: the header checksum does not match")
    try:
        version = msgspec.msgpack.decode(text).get("version", (0, 0))
        if version[0] > FORMAT_MAJOR:
            known = f"{FORMAT_MAJOR}.{FORMAT_MINOR}"
            raise TraceError(
                f"format {version[0]}.{version[1]} is newer than {known}, the newest supported format"
            )
        return _headers.decode(text), OPENING.size + size
    except (msgspec.MsgspecError, AttributeError, TypeError, IndexError, RecursionError) as error:
        raise TraceError(f"not a trace file: cannot decode the header: {error}") from None


def read_frame_sizes(data: bytes) -> tuple[bytes, int, int, int, int]:
    """Return magic, sizes of head, body and decompressed body in bytes, and checksum of a frame.

    Raises TraceDamagedError if a frame cannot have these values.
    """
    if len(data) < FRAME.size:
        raise TraceDamagedError("the start of a frame is truncated")
    magic, head, body, raw, check = FRAME.unpack_from(data)
    if magic not in (BLOCK, INDEX):
        raise TraceDamagedError("no frame starts here: unknown magic number")
    if head > MAX_HEAD_BYTES or body > MAX_BODY_BYTES or raw > MAX_RAW_BYTES:
        raise TraceDamagedError(
            f"frame sizes exceed the limits: head {head}, body {body}, decompressed body {raw} bytes"
        )
    return magic, head, body, raw, check


def verify_checksum(head: bytes, body: bytes, check: int) -> None:
    """Verify the checksum of a frame. Raises TraceDamagedError if it does not match."""
    if crc32c.crc32c(body, crc32c.crc32c(head)) != check:
        raise TraceDamagedError("frame checksum does not match")


def read_head(data: bytes) -> BlockHead:
    """Decode the head of a block. Raises TraceDamagedError if it is invalid."""
    try:
        return _heads.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"cannot decode the head of a block: {error}") from None


def decompress(body: bytes, raw: int) -> bytes:
    """Decompress a body. `raw` is the size stated in the frame, which the caller has checked.

    Raises TraceDamagedError if the body cannot be decompressed or has another size.
    """
    try:
        out = zstandard.ZstdDecompressor().decompress(body, max_output_size=max(1, raw))
    except zstandard.ZstdError as error:
        raise TraceDamagedError(f"cannot decompress a block: {error}") from None
    if len(out) != raw:
        raise TraceDamagedError("decompressed size of a block differs from the size stated in its frame")
    return out


def read_body(raw: bytes, head: BlockHead) -> BlockBody:
    """Decode the body of a block.

    Raises TraceDamagedError if it is invalid, exceeds a limit, or has a column of another length than the
    head states.
    """
    try:
        body = _bodies.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"cannot decode the body of a block: {error}") from None
    if len(body.strings) > MAX_STRINGS or max(head.lives, head.attempts) > MAX_ROWS:
        raise TraceDamagedError("a block exceeds the limit on strings, requests or attempts")
    _check_lengths(body.lives, REQUEST_COLUMNS, head.lives)
    _check_lengths(body.attempts, ATTEMPT_COLUMNS, head.attempts)
    return body


def _check_lengths(columns: dict[str, bytes], types: dict[str, str], rows: int) -> None:
    for name, code in types.items():
        if len(columns.get(name, b"")) != rows * COLUMN_BYTES[code]:
            raise TraceDamagedError(f"column '{name}' does not have the expected {rows} values")


def encode_index(entries: list[BlockIndexEntry], offset: int) -> bytes:
    """Encode the last bytes of a file: its index and the offset of the index.

    The index omits the Bloom filters, which remain in the blocks. They are the largest part of a head, and
    only a search for an id needs them.
    """
    bare = [BlockIndexEntry(e.offset, e.size, msgspec.structs.replace(e.head, bloom=b"")) for e in entries]
    return encode_frame(INDEX, b"", encode(bare)) + CLOSING.pack(offset, END)


def read_index(raw: bytes) -> list[BlockIndexEntry]:
    """Decode the entries of an index. Raises TraceDamagedError if it is invalid."""
    try:
        return _indexes.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"cannot decode the index: {error}") from None


def empty_columns(types: dict[str, str]) -> dict[str, array[int]]:
    """Return empty columns with these names and type codes."""
    return {name: array(code) for name, code in types.items()}
