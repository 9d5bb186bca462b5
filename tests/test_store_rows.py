"""Rows of the store: encryption under rotated keys, and schemas."""

from __future__ import annotations

from pathlib import Path

import pytest

from onyxwick.store import StoreUnusableError
from onyxwick.store.encryption import SecretCipher, generate_key, read_key_file


def test_keys_rotate_and_a_wrong_key_is_rejected(tmp_path: Path) -> None:
    old, new = generate_key(), generate_key()
    sealed = SecretCipher([old]).encrypt(b"secret")
    both = SecretCipher([new, old])
    assert both.decrypt(sealed, "x") == b"secret"
    again = both.reencrypt(sealed)
    assert SecretCipher([new]).decrypt(again, "x") == b"secret" and b"secret" not in again
    with pytest.raises(StoreUnusableError, match="key/x: no key of the key file opens it"):
        SecretCipher([new]).decrypt(sealed, "key/x")
    (tmp_path / "keys").write_text(f"# newest first\n{new}\n{old}\n")
    assert read_key_file(tmp_path / "keys").decrypt(sealed, "x") == b"secret"
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
