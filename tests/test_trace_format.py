"""Tests of trace files: reading back, truncation and damage at any byte, hostile files, other versions."""

from __future__ import annotations

import random
from pathlib import Path

import numpy as np
import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.trace import format as f
from onyxwick.trace.explain import explain_request
from onyxwick.trace.filter import TraceFilter, select_requests
from onyxwick.trace.model import (
    TraceDamagedError,
    TraceError,
)
from onyxwick.trace.reader import open_trace
from onyxwick.trace.recorder import id_number
from onyxwick.trace.table import StringTable, Table
from tests.trace_files import HEADER, recorded_blocks, request_ids, write_trace


def test_recorded_requests_are_read_back_and_explained(tmp_path: Path) -> None:
    write_trace(tmp_path / "a.owt", recorded_blocks())
    ids, trace = request_ids(tmp_path / "a.owt")
    assert ids == list(range(1, 41)) and trace.indexed and not trace.losses
    with open_trace(tmp_path / "a.owt") as again:
        (table,) = [
            t
            for t in select_requests(
                again, TraceFilter(request=f"{5:016x}"), StringTable(), notifications=False
            )
            if len(t)
        ]
    explanation = "\n".join(explain_request(table, 0))
    phrases = (
        "0000000000000005 of tenant t1",
        "box-1 was chosen, the first box",
        "Sent at 0.5 ms",
        "ok, a hit",
    )
    for phrase in (*phrases, "filled from parent-1 at rank 1", "It was served after 9.1 ms with 100 bytes"):
        assert phrase in explanation


def test_a_file_cut_at_any_byte_gives_all_blocks_before_the_cut(tmp_path: Path) -> None:
    offsets = write_trace(tmp_path / "a.owt", recorded_blocks(30))
    data, path = (tmp_path / "a.owt").read_bytes(), tmp_path / "cut.owt"
    tested_sizes = 0
    for size in range(offsets[-3], len(data)):
        path.write_bytes(data[:size])
        ids, trace = request_ids(path)
        complete_blocks = sum(offset <= size for offset in offsets[1:])
        assert len(ids) == sum(b.head.lives for b in _BLOCKS[:complete_blocks]), size
        inside = size not in offsets and size < offsets[-1]
        assert trace.losses or not inside, "a truncated block must be reported as a loss"
        tested_sizes += 1
    assert tested_sizes > 1000


_BLOCKS = recorded_blocks(30)
for _block in _BLOCKS:
    _block.encode()


def test_a_flipped_bit_in_each_part_of_a_block_loses_that_block_alone(tmp_path: Path) -> None:
    offsets = write_trace(tmp_path / "a.owt", recorded_blocks(48), index=False)
    data, path, rng = (tmp_path / "a.owt").read_bytes(), tmp_path / "bit.owt", random.Random(5)
    sizes = [e.head.lives for e in open_trace(tmp_path / "a.owt").entries]
    for at in range(offsets[1], offsets[2], 3):
        damaged = bytearray(data)
        damaged[at] ^= 1 << rng.randrange(8)
        path.write_bytes(damaged)
        ids, trace = request_ids(path)
        assert len(ids) == sum(sizes) - sizes[1] and trace.losses, at


def _frame(magic: bytes, head: int, body: int, raw: int) -> bytes:
    return f.FRAME.pack(magic, head, body, raw, 0)


@pytest.mark.parametrize(
    "tail",
    [
        _frame(f.BLOCK, 10, 10, 0xFFFFFFFF),  # A block that states a size of 4 GB.
        _frame(f.BLOCK, 0xFFFFFFFF, 10, 10),
        f.encode_frame(f.BLOCK, f.encode(f.BlockHead(lives=1 << 30)), b""),
        f.encode_frame(f.BLOCK, b"\x81" * 5000, b""),  # Deeply nested MessagePack data.
        f.encode_frame(f.BLOCK, f.encode(f.BlockHead(lives=1)), b"\x91" * 100_000),
        f.encode_frame(f.BLOCK, f.encode(f.BlockHead()), f.encode(f.BlockBody(["a"] * 70_000, {}, {}, []))),
        f.encode_frame(f.INDEX, b"", f.encode([f.BlockIndexEntry(1, 1 << 60, f.BlockHead())]))
        + f.CLOSING.pack(0, f.END),
    ],
)
def test_hostile_files_are_rejected_with_bounded_memory(tail: bytes, tmp_path: Path) -> None:
    path = tmp_path / "hostile.owt"
    path.write_bytes(f.encode_opening(HEADER) + _BLOCKS[0].encode()[1] + tail)
    ids, trace = request_ids(path)
    assert len(ids) == _BLOCKS[0].head.lives and (trace.losses or tail.endswith(f.END))


def test_a_decompression_bomb_is_not_decompressed() -> None:
    bomb = zstandard.ZstdCompressor().compress(bytes(200 << 20))
    with pytest.raises(TraceDamagedError):
        f.decompress(bomb, 1000)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 60))
def test_any_bytes_give_requests_or_a_trace_error(
    tmp_path_factory: pytest.TempPathFactory, junk: bytes, at: int, cut_off: int
) -> None:
    path = tmp_path_factory.getbasetemp() / "fuzz.owt"
    data = f.encode_opening(HEADER) + _BLOCKS[0].encode()[1] + _BLOCKS[1].encode()[1]
    path.write_bytes(data[:at] + junk + data[at + cut_off :])
    try:
        request_ids(path)
    except TraceError as error:
        assert str(error).startswith("fuzz.owt: ")


def test_a_newer_major_version_is_rejected_and_any_minor_one_is_read(tmp_path: Path) -> None:
    newer = f.encode_opening(f.FileHeader((2, 1), "n0", "ab", 0, 0, [], {}))
    (tmp_path / "a.owt").write_bytes(newer)
    with pytest.raises(TraceError, match=r"a\.owt: format 2\.1 is newer than 1\.0"):
        open_trace(tmp_path / "a.owt")
    (tmp_path / "a.owt").write_bytes(f.encode_opening(f.FileHeader((1, 9), "n0", "ab", 0, 0, [], {})))
    assert not open_trace(tmp_path / "a.owt").entries
    with pytest.raises(TraceError, match="not a trace file"):
        open_trace(Path(__file__))


def test_both_builders_of_the_bloom_filter_agree() -> None:
    keys = [id_number(f"{n * 7919:016x}") for n in range(500)]
    table = Table({"id": np.array(keys, np.uint64)}, {}, StringTable())
    from onyxwick.trace.table import bloom_of_columns

    bloom = bloom_of_columns(table.requests["id"])
    assert bloom == f.bloom_of(keys) and all(key in f.Bloom(bloom) for key in keys)
    assert sum(n in f.Bloom(bloom) for n in range(10**6, 10**6 + 2000)) < 160
