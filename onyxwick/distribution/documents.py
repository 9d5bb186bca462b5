"""Configuration documents: split into parts that fit into events, and assembled again with their digest."""

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


class DocumentError(DistributionError):
    """A part that fits no document: wrong order, size or digest."""


def document_digest(text: str) -> str:
    """The digest that a document's parts carry, as hexadecimal digits."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def split_document(name: str, version: int, text: str) -> list[DocumentPart]:
    """The parts of a document; PublishRefusedError where it is too large."""
    size = len(text.encode())
    if size > MAX_DOCUMENT_BYTES:
        raise PublishRejectedError(f"document '{name}' has {size} bytes, {MAX_DOCUMENT_BYTES} at most")
    # A character has four bytes at most: parts are cut by characters, so that each is valid by itself.
    step = MAX_PART_BYTES // 4 if size > len(text) else MAX_PART_BYTES
    texts = [text[at : at + step] for at in range(0, len(text), step)] or [""]
    digest = document_digest(text)
    return [DocumentPart(name, version, n, len(texts), digest, part) for n, part in enumerate(texts)]


@dataclass(slots=True)
class _Partial:
    version: int
    digest: str
    parts: int
    texts: list[str] = field(default_factory=list)
    size: int = 0


class DocumentAssembler:
    """Collects parts in order. A newer version of a document displaces an unfinished older one."""

    def __init__(self) -> None:
        self._partial: dict[str, _Partial] = {}

    def add(self, part: DocumentPart) -> Document | None:
        """The whole document with its last part; DocumentError (and nothing kept) if a part does not fit."""
        partial = self._partial.get(part.name)
        if part.part == 0:
            partial = self._begin(part)
        if partial is None or not self._fits(partial, part):
            self._partial.pop(part.name, None)
            raise DocumentError(f"part {part.part} of document '{part.name}' fits nothing before it")
        partial.texts.append(part.text)
        partial.size += len(part.text.encode())
        if partial.size > MAX_DOCUMENT_BYTES:
            del self._partial[part.name]
            raise DocumentError(f"document '{part.name}' is over {MAX_DOCUMENT_BYTES} bytes")
        if len(partial.texts) < partial.parts:
            return None
        return self._finish(part.name)

    def unfinished_parts(self) -> list[DocumentPart]:
        """The parts held of documents not yet whole, for a snapshot."""
        return [
            DocumentPart(name, held.version, n, held.parts, held.digest, text)
            for name, held in self._partial.items()
            for n, text in enumerate(held.texts)
        ]

    def _begin(self, part: DocumentPart) -> _Partial:
        if part.name not in self._partial and len(self._partial) >= MAX_DOCUMENTS:
            raise DocumentError(f"over {MAX_DOCUMENTS} documents are unfinished")
        if part.parts > MAX_DOCUMENT_BYTES // (MAX_PART_BYTES // 4) + 1:
            raise DocumentError(f"document '{part.name}' has {part.parts} parts")
        partial = self._partial[part.name] = _Partial(part.version, part.digest, part.parts)
        return partial

    @staticmethod
    def _fits(partial: _Partial, part: DocumentPart) -> bool:
        known = (partial.version, partial.digest, partial.parts, len(partial.texts))
        return known == (part.version, part.digest, part.parts, part.part)

    def _finish(self, name: str) -> Document:
        partial = self._partial.pop(name)
        text = "".join(partial.texts)
        if document_digest(text) != partial.digest:
            raise DocumentError(f"document '{name}' does not have the digest that its parts name")
        return Document(name, partial.version, partial.digest, text)
