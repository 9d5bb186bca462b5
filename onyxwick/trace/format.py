"""Frames and blocks as bytes, both ways, with every bound that a hostile file could try. No I/O here.

A frame: magic, lengths, checksum (CRC-32C over head and body), a head in MessagePack, a body in zstandard.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterable
from typing import Any, BinaryIO

import crc32c
import msgspec
import zstandard

from onyxwick.trace.model import ATTEMPTS, LIVES, MAJOR, MINOR, SIZES, TraceDamagedError, TraceError

FILE_MAGIC, BLOCK, INDEX, END = b"OWTRACE\n", b"OWB1", b"OWX1", b"OWTREND\n"
FRAME = struct.Struct("<4sIIII")  # magic, bytes of the head, of the body, of the body unpacked, checksum
OPENING = struct.Struct("<8sII")  # magic, bytes of the header, checksum
CLOSING = struct.Struct("<Q8s")  # where the index is, magic
MOST_HEAD, MOST_BODY, MOST_RAW = 1 << 20, 16 << 20, 64 << 20
MOST_STRINGS, MOST_ROWS = 65_535, 1 << 20
LEVEL = 3
BLOOM_HASHES, BLOOM_BITS = 4, 8  # bits for each key: one in forty is let through in vain


class BlockHead(msgspec.Struct, omit_defaults=True):
    """What a block says of itself without being unpacked."""

    lives: int = 0
    attempts: int = 0
    first: int = 0  # Unix us: the earliest arrival, the latest end
    last: int = 0
    classes: list[str] = []
    tenants: list[str] = []
    cells: list[str] = []
    members: list[str] = []
    verdicts: int = 0  # a bit each
    bloom: bytes = b""  # of objects and request ids
    dropped: int = 0  # whole requests left out since the block before
    open: int = 0  # requests under way when it was closed
    told: int = 0


class BlockBody(msgspec.Struct):
    strings: list[str]
    lives: dict[str, bytes]
    attempts: dict[str, bytes]
    told: list[tuple[int, int, dict[str, Any]]]


class FileHeader(msgspec.Struct):
    """The file's first words."""

    version: tuple[int, int]
    director: str
    run: str  # new at each start of a director
    unix_us: int
    mono_us: int
    classes: list[dict[str, Any]]
    rules: dict[str, float]
    clocks: dict[str, dict[str, float]] = {}  # of a merged file, by director: offset_us, drift_ppm, doubt_us


class BlockIndexEntry(msgspec.Struct, array_like=True):
    offset: int
    size: int
    head: BlockHead


_heads, _bodies = msgspec.msgpack.Decoder(BlockHead), msgspec.msgpack.Decoder(BlockBody)
_headers, _indexes = msgspec.msgpack.Decoder(FileHeader), msgspec.msgpack.Decoder(list[BlockIndexEntry])
encode = msgspec.msgpack.Encoder().encode


def mix64(key: int) -> int:
    """Two 32-bit words from a key: the finaliser of MurmurHash3 (Appleby 2011)."""
    key = ((key ^ (key >> 33)) * 0xFF51AFD7ED558CCD) & 0xFFFFFFFFFFFFFFFF
    key = ((key ^ (key >> 33)) * 0xC4CEB9FE1A85EC53) & 0xFFFFFFFFFFFFFFFF
    return key ^ (key >> 33)


class Bloom:
    """A set of 64-bit keys that may answer yes in vain, never no (Bloom 1970; two hashes stand for all, as in
    Kirsch and Mitzenmacher 2006, section 4)."""

    def __init__(self, bits: bytes | int) -> None:
        self.bits = bytearray(max(8, -(-bits // 8))) if isinstance(bits, int) else bytearray(bits)

    def add(self, key: int) -> None:
        word, size = mix64(key), len(self.bits) * 8
        step, at = word >> 32 | 1, word & 0xFFFFFFFF
        for _ in range(BLOOM_HASHES):
            place = at % size
            self.bits[place >> 3] |= 1 << (place & 7)
            at += step

    def __contains__(self, key: int) -> bool:
        if not self.bits:
            return True
        word, size = mix64(key), len(self.bits) * 8
        step, at = word >> 32 | 1, word & 0xFFFFFFFF
        for _ in range(BLOOM_HASHES):
            place = at % size
            if not self.bits[place >> 3] >> (place & 7) & 1:
                return False
            at += step
        return True


def bloom_of(keys: Iterable[int]) -> bytes:
    unique = set(keys)
    bloom = Bloom(max(64, len(unique) * BLOOM_BITS))
    for key in unique:
        bloom.add(key)
    return bytes(bloom.bits)


def frame(magic: bytes, head: bytes, raw: bytes) -> bytes:
    body = zstandard.ZstdCompressor(level=LEVEL).compress(raw)
    check = crc32c.crc32c(body, crc32c.crc32c(head))
    return FRAME.pack(magic, len(head), len(body), len(raw), check) + head + body


def opening(header: FileHeader) -> bytes:
    data = encode(header)
    return OPENING.pack(FILE_MAGIC, len(data), crc32c.crc32c(data)) + data


def read_opening(file: BinaryIO) -> tuple[FileHeader, int]:
    """The header, and where the frames begin. TraceError names what is wrong."""
    data = file.read(OPENING.size)
    if len(data) < OPENING.size or not data.startswith(FILE_MAGIC):
        raise TraceError("no trace: it does not begin as one")
    _, size, check = OPENING.unpack(data)
    text = file.read(size) if size <= MOST_HEAD else b""
    if len(text) < size:
        raise TraceError("no trace: its header is cut")
    if crc32c.crc32c(text) != check:
        raise TraceError("no trace: its header is damaged")
    try:
        version = msgspec.msgpack.decode(text).get("version", (0, 0))
        if version[0] > MAJOR:
            raise TraceError(f"format {version[0]}.{version[1]} is newer than {MAJOR}.{MINOR}, known here")
        return _headers.decode(text), OPENING.size + size
    except (msgspec.MsgspecError, AttributeError, TypeError, IndexError, RecursionError) as error:
        raise TraceError(f"no trace: its header cannot be read: {error}") from None


def read_frame_sizes(data: bytes) -> tuple[bytes, int, int, int, int]:
    """Magic, sizes of head, body and unpacked body, checksum. Damaged where no frame could be so."""
    if len(data) < FRAME.size:
        raise TraceDamagedError("a frame is cut")
    magic, head, body, raw, check = FRAME.unpack_from(data)
    if magic not in (BLOCK, INDEX):
        raise TraceDamagedError("no frame begins here")
    if head > MOST_HEAD or body > MOST_BODY or raw > MOST_RAW:
        raise TraceDamagedError(f"a frame claims {head}, {body} and {raw} bytes")
    return magic, head, body, raw, check


def checked(head: bytes, body: bytes, check: int) -> None:
    if crc32c.crc32c(body, crc32c.crc32c(head)) != check:
        raise TraceDamagedError("a frame's checksum does not hold")


def read_head(data: bytes) -> BlockHead:
    try:
        return _heads.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"a block's head cannot be read: {error}") from None


def unpack(body: bytes, raw: int) -> bytes:
    """The unpacked body, of the size that the frame told, which the caller has bounded."""
    try:
        out = zstandard.ZstdDecompressor().decompress(body, max_output_size=max(1, raw))
    except zstandard.ZstdError as error:
        raise TraceDamagedError(f"a block cannot be unpacked: {error}") from None
    if len(out) != raw:
        raise TraceDamagedError("a block unpacks to another size than told")
    return out


def read_body(raw: bytes, head: BlockHead) -> BlockBody:
    """The columns, each of the length that the head tells."""
    try:
        body = _bodies.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"a block cannot be read: {error}") from None
    if len(body.strings) > MOST_STRINGS or max(head.lives, head.attempts) > MOST_ROWS:
        raise TraceDamagedError("a block holds too much")
    for columns, known, rows in ((body.lives, LIVES, head.lives), (body.attempts, ATTEMPTS, head.attempts)):
        for name, code in known.items():
            if len(columns.get(name, b"")) != rows * SIZES[code]:
                raise TraceDamagedError(f"column '{name}' does not hold {rows} values")
    return body


def index_frame(entries: list[BlockIndexEntry], offset: int) -> bytes:
    """The index and the file's last words. The filters stay in the blocks: they are most of a head, and only
    a search for one id wants them."""
    bare = [BlockIndexEntry(e.offset, e.size, msgspec.structs.replace(e.head, bloom=b"")) for e in entries]
    return frame(INDEX, b"", encode(bare)) + CLOSING.pack(offset, END)


def read_index(raw: bytes) -> list[BlockIndexEntry]:
    try:
        return _indexes.decode(raw)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceDamagedError(f"the index cannot be read: {error}") from None


def columns(known: dict[str, str]) -> dict[str, array[int]]:
    return {name: array(code) for name, code in known.items()}
