"""Rows of the store: encryption with rotated keys, and row schemas."""

from __future__ import annotations

from pathlib import Path

import pytest

from onyxwick.store import StoreUnusableError
from onyxwick.store.encryption import SecretCipher, generate_key, read_key_file
from onyxwick.store.recovery import DrainSource, MemberDrain, RecordedPurge
from onyxwick.store.row_schema import drain_of_row, drain_row, purge_of_row, purge_row


def test_keys_rotate_and_a_wrong_key_is_rejected(tmp_path: Path) -> None:
    old, new = generate_key(), generate_key()
    encrypted = SecretCipher([old]).encrypt(b"secret")
    both = SecretCipher([new, old])
    assert both.decrypt(encrypted, "x") == b"secret"
    reencrypted = both.reencrypt(encrypted)
    assert SecretCipher([new]).decrypt(reencrypted, "x") == b"secret" and b"secret" not in reencrypted
    with pytest.raises(StoreUnusableError, match="key/x: no key of the key file decrypts it"):
        SecretCipher([new]).decrypt(encrypted, "key/x")
    (tmp_path / "keys").write_text(f"# newest first\n{new}\n{old}\n")
    assert read_key_file(tmp_path / "keys").decrypt(encrypted, "x") == b"secret"
    for text in ("", "# none\n", "short\n"):
        (tmp_path / "keys").write_text(text)
        with pytest.raises(StoreUnusableError):
            read_key_file(tmp_path / "keys")


def test_a_row_of_a_newer_schema_is_rejected() -> None:
    from onyxwick.store.row_schema import encode_row, unpack_row

    with pytest.raises(StoreUnusableError, match="schema 9, newer"):
        unpack_row("drain/c0", encode_row([9, {}]))
    with pytest.raises(StoreUnusableError, match="cannot be read"):
        unpack_row("drain/c0", b"\xc1")


def test_rows_without_the_later_fields_are_read_with_their_defaults() -> None:
    drain = drain_of_row({"member": "c0", "by": "operator"})
    assert drain == MemberDrain("c0", DrainSource.OPERATOR, 0, "", 0)
    assert drain_of_row(drain_row(drain)) == drain
    purge = purge_of_row({"group": 3, "object": None, "unix_us": 7})
    assert purge == RecordedPurge(3, None, 7, 0)
    assert purge_of_row(purge_row(purge)) == purge
