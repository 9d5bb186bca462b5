"""Encrypts the secrets in the store with the keys of a key file, which can be rotated.

The file holds one key per line, newest first. The newest key encrypts; all keys can decrypt. A key is 32
bytes in base64, as `onyxwick store new-key` prints it. The cipher is Fernet (AES-128 in CBC mode with
HMAC-SHA256) of the cryptography library.
"""

from __future__ import annotations

from pathlib import Path

from cryptography.fernet import Fernet, InvalidToken, MultiFernet

from onyxwick.store.errors import SecretUnreadableError, StoreUnusableError


class SecretCipher:
    """Encrypts with its first key and decrypts with any. Raises StoreUnusableError for an invalid key."""

    def __init__(self, keys: list[str]) -> None:
        try:
            self.keys = MultiFernet([Fernet(key) for key in keys])
        except ValueError as error:
            raise StoreUnusableError(
                f"the key file contains an invalid key: {error}; a key is 32 bytes in base64"
            ) from None

    def encrypt(self, secret: bytes) -> bytes:
        """Encrypt a secret with the newest key."""
        return self.keys.encrypt(secret)

    def decrypt(self, encrypted: bytes, row_key: str) -> bytes:
        """Decrypt the secret of a row. Raises SecretUnreadableError if no key of the key file decrypts it."""
        try:
            return self.keys.decrypt(encrypted)
        except InvalidToken:
            raise SecretUnreadableError(f"{row_key}: no key of the key file decrypts it") from None

    def reencrypt(self, encrypted: bytes) -> bytes:
        """Decrypt a secret and encrypt it again with the newest key."""
        return self.keys.rotate(encrypted)


def read_key_file(path: Path) -> SecretCipher:
    """Read a key file. Raises StoreUnusableError if it cannot be read, is empty or has an invalid key."""
    try:
        lines = [line.strip() for line in path.read_text().splitlines()]
    except (OSError, UnicodeDecodeError) as error:
        raise StoreUnusableError(f"{path.name}: {error}") from None
    keys = [line for line in lines if line and not line.startswith("#")]
    if not keys:
        raise StoreUnusableError(f"{path.name}: contains no key; `onyxwick store new-key` generates one")
    return SecretCipher(keys)


def generate_key() -> str:
    """Generate a random key in the format of a line of the key file."""
    return Fernet.generate_key().decode()
