"""Secrets in the store, sealed under a key file whose keys can be rotated.

The file holds one key a line, the newest first: it seals, all of them open. A key is 32 bytes in base64, as
`onyxwick store new-key` prints. Fernet (AES-128 in CBC with HMAC-SHA256) of the cryptography library does
the work.
"""

from __future__ import annotations

from pathlib import Path

from cryptography.fernet import Fernet, InvalidToken, MultiFernet

from onyxwick.store.errors import StoreUnusableError


class Sealer:
    def __init__(self, keys: list[str]) -> None:
        try:
            self.keys = MultiFernet([Fernet(key) for key in keys])
        except ValueError as error:
            raise StoreUnusableError(f"the key file holds what is no key: {error}") from None

    def seal(self, secret: bytes) -> bytes:
        return self.keys.encrypt(secret)

    def open(self, sealed: bytes, what: str) -> bytes:
        """Refused where no key of the file opens it: it must not be taken for an empty secret."""
        try:
            return self.keys.decrypt(sealed)
        except InvalidToken:
            raise StoreUnusableError(f"{what}: no key of the key file opens it") from None

    def renew(self, sealed: bytes) -> bytes:
        """The same under the newest key."""
        return self.keys.rotate(sealed)


def read_keys(path: Path) -> Sealer:
    try:
        lines = [line.strip() for line in path.read_text().splitlines()]
    except (OSError, UnicodeDecodeError) as error:
        raise StoreUnusableError(f"{path.name}: {error}") from None
    keys = [line for line in lines if line and not line.startswith("#")]
    if not keys:
        raise StoreUnusableError(f"{path.name}: holds no key")
    return Sealer(keys)


def new_key() -> str:
    return Fernet.generate_key().decode()
