"""Splits configuration documents into parts that fit into events, and assembles them with a digest check."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from onyxwick.distribution.model import (
    MAX_DOCUMENT_BYTES,
    MAX_DOCUMENTS,
    MAX_PART_BYTES,
    DistributionError,
    Document,
    DocumentPart,
    PublishRejectedError,
)

DIGEST_BYTES = 16
MAX_CHARACTER_BYTES = 4
"""Size of the longest character in UTF-8."""
MAX_PARTS = MAX_DOCUMENT_BYTES // (MAX_PART_BYTES // MAX_CHARACTER_BYTES) + 1


class DocumentError(DistributionError):
    """A document part has the wrong order, size or digest."""


def document_digest(text: str) -> str:
    """Return the digest that the parts of a document carry, in hexadecimal."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def split_document(name: str, version: int, text: str) -> list[DocumentPart]:
    """Split a document into at least one part. Raises PublishRejectedError if it is too large."""
    size_bytes = len(text.encode())
    if size_bytes > MAX_DOCUMENT_BYTES:
        raise PublishRejectedError(
            f"document '{name}' has {size_bytes} bytes, expected at most {MAX_DOCUMENT_BYTES} bytes"
        )
    # The text is split between characters, so that each part is valid UTF-8 by itself.
    is_ascii = size_bytes == len(text)
    characters = MAX_PART_BYTES if is_ascii else MAX_PART_BYTES // MAX_CHARACTER_BYTES
    texts = [text[start : start + characters] for start in range(0, len(text), characters)] or [""]
    digest = document_digest(text)
    return [
        DocumentPart(name, version, number, len(texts), digest, part) for number, part in enumerate(texts)
    ]


@dataclass(slots=True)
class _PartialDocument:
    version: int
    digest: str
    part_count: int
    texts: list[str] = field(default_factory=list)
    size_bytes: int = 0

    def is_continued_by(self, part: DocumentPart) -> bool:
        is_same_version = (self.version, self.digest, self.part_count) == (
            part.version,
            part.digest,
            part.part_count,
        )
        return is_same_version and part.number == len(self.texts)


class DocumentAssembler:
    """Collects parts in order. A newer version of a document replaces an unfinished older one."""

    def __init__(self) -> None:
        self._partial: dict[str, _PartialDocument] = {}

    def add(self, part: DocumentPart) -> Document | None:
        """Add a part. Returns the complete document if this is its last part, otherwise None.

        Raises DocumentError if the part does not fit; the unfinished document is then dropped.
        """
        partial = self._partial.get(part.name)
        if part.number == 0:
            partial = self._begin(part)
        if partial is None or not partial.is_continued_by(part):
            self._partial.pop(part.name, None)
            raise DocumentError(
                f"part {part.number} of document '{part.name}' does not follow the parts received before it"
            )
        partial.texts.append(part.text)
        partial.size_bytes += len(part.text.encode())
        if partial.size_bytes > MAX_DOCUMENT_BYTES:
            del self._partial[part.name]
            raise DocumentError(f"document '{part.name}' is larger than {MAX_DOCUMENT_BYTES} bytes")
        if len(partial.texts) < partial.part_count:
            return None
        return self._finish(part.name)

    def unfinished_parts(self) -> list[DocumentPart]:
        """Return the parts of documents that are not complete yet, for a snapshot."""
        return [
            DocumentPart(name, partial.version, number, partial.part_count, partial.digest, text)
            for name, partial in self._partial.items()
            for number, text in enumerate(partial.texts)
        ]

    def _begin(self, part: DocumentPart) -> _PartialDocument:
        if part.name not in self._partial and len(self._partial) >= MAX_DOCUMENTS:
            raise DocumentError(f"more than {MAX_DOCUMENTS} documents are unfinished")
        if part.part_count > MAX_PARTS:
            raise DocumentError(
                f"document '{part.name}' has {part.part_count} parts, expected at most {MAX_PARTS} parts"
            )
        partial = _PartialDocument(part.version, part.digest, part.part_count)
        self._partial[part.name] = partial
        return partial

    def _finish(self, name: str) -> Document:
        partial = self._partial.pop(name)
        text = "".join(partial.texts)
        if document_digest(text) != partial.digest:
            raise DocumentError(f"document '{name}' does not match the digest in its parts")
        return Document(name, partial.version, partial.digest, text)
