"""Encryption of the secrets in the store, under a key file whose keys can be rotated.

The file holds one key a line, the newest first: it encrypts, all of them decrypt. A key is 32 bytes in
base64, as `onyxwick store new-key` prints it. The cipher is Fernet (AES-128 in CBC with HMAC-SHA256) of the
cryptography library.
"""

from __future__ import annotations

from pathlib import Path

from cryptography.fernet import Fernet, InvalidToken, MultiFernet

from onyxwick.store.errors import StoreUnusableError


class SecretCipher:
    """Encrypts under the first of some keys. StoreUnusableError where one of them is no key."""

    def __init__(self, keys: list[str]) -> None:
        try:
            self.keys = MultiFernet([Fernet(key) for key in keys])
        except ValueError as error:
            raise StoreUnusableError(
                f"the key file holds a line that is no key: {error}; a key is 32 bytes in base64"
            ) from None

    def encrypt(self, secret: bytes) -> bytes:
        """A secret under the newest key."""
        return self.keys.encrypt(secret)

    def decrypt(self, encrypted: bytes, row_key: str) -> bytes:
        """The secret of a row; StoreUnusableError where no key of the file decrypts it."""
        try:
            return self.keys.decrypt(encrypted)
        except InvalidToken:
            raise StoreUnusableError(f"{row_key}: no key of the key file opens it") from None

    def reencrypt(self, encrypted: bytes) -> bytes:
        """The same secret under the newest key."""
        return self.keys.rotate(encrypted)


def read_key_file(path: Path) -> SecretCipher:
    """The cipher of a key file; StoreUnusableError where it cannot be read or holds no key."""
    try:
        lines = [line.strip() for line in path.read_text().splitlines()]
    except (OSError, UnicodeDecodeError) as error:
        raise StoreUnusableError(f"{path.name}: {error}") from None
    keys = [line for line in lines if line and not line.startswith("#")]
    if not keys:
        raise StoreUnusableError(f"{path.name}: holds no key; `onyxwick store new-key` prints one")
    return SecretCipher(keys)


def generate_key() -> str:
    """A new random key as a line of the key file."""
    return Fernet.generate_key().decode()
