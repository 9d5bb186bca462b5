"""Parses the HCL subset of the configuration files: attributes, labelled blocks, literals, lists, objects.

The syntax is the native syntax of the HashiCorp Configuration Language without variables, functions,
operators and templates: a configuration states values and computes nothing. Every attribute, value and block
records its line. The HCL reader of the package registry loses the lines of attributes, so this module has its
own grammar, which lark parses.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput

from onyxwick.config.errors import ConfigError

MAX_FILE_BYTES = 16_777_216
"""Maximum number of characters that are parsed, which limits memory use; far more than a file with 10,000
tenants needs."""
MAX_DEPTH = 32
"""Limit on the nesting of blocks, and on the nesting of lists and objects."""
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}
UNICODE_DIGITS = {"u": 4, "U": 8}
"""Number of hexadecimal digits after each escape letter that gives a code point."""
MAX_CODE_POINT = 0x10FFFF
HEXADECIMAL = frozenset("0123456789abcdefABCDEF")
LITERALS = {"true": True, "false": False, "null": None}
QUOTED_LINE_CHARACTERS = 64
QUOTED_TOKEN_CHARACTERS = 24
GRAMMAR = r"""
start: item*
?item: attribute | block
attribute: NAME "=" value
block: NAME (STRING | NAME)* "{" item* "}"
?value: STRING | HEREDOC | NUMBER | NAME | list | object
list: "[" [value ("," value)* ","?] "]"
object: "{" (pair ","?)* "}"
pair: (NAME | STRING) ("=" | ":") value
NAME: /[A-Za-z_][A-Za-z0-9_-]*/
NUMBER: /-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?/
STRING: /"(\\.|[^"\\\n])*"/
HEREDOC: /<<-?(?P<mark>[A-Za-z_]\w*)\n(.|\n)*?\n[ \t]*(?P=mark)(?=\n|$)/
COMMENT: /#[^\n]*|\/\/[^\n]*|\/\*(.|\n)*?\*\//
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""


@dataclass(slots=True)
class Value:
    """A literal (text, number, boolean, None), a list of values or an object of values, with its line."""

    data: Any
    line: int

    def plain(self) -> Any:
        """Return the value as plain Python data, without lines."""
        if isinstance(self.data, list):
            return [inner.plain() for inner in self.data]
        if isinstance(self.data, dict):
            return {key: inner.plain() for key, inner in self.data.items()}
        return self.data


@dataclass(slots=True)
class Block:
    """A block with its labels. The file itself is a block with an empty type."""

    type: str
    labels: list[str]
    line: int
    attributes: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)

    def blocks_of(self, type_name: str) -> Iterator[Block]:
        """Return the nested blocks of a type, in file order."""
        return (block for block in self.blocks if block.type == type_name)


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", maybe_placeholders=False, propagate_positions=True)


class _TreeReader:
    """Converts lark's syntax tree into blocks; errors name file and line."""

    def __init__(self, file: str) -> None:
        self.file = file

    def error(self, line: int, text: str) -> ConfigError:
        return ConfigError.at(self.file, line, text)

    def read_body(self, out: Block, items: list[Any], depth: int = 0) -> Block:
        """Add attributes and blocks to a block."""
        if depth > MAX_DEPTH:
            raise self.error(out.line, f"blocks are nested over {MAX_DEPTH} deep")
        line = 0
        for item in items:
            if item.meta.line == line:
                raise self.error(line, "two settings on one line: each wants a line of its own")
            line = item.meta.end_line
            if item.data == "attribute":
                self.read_attribute(out, item)
            else:
                out.blocks.append(self.read_block(item, depth))
        return out

    def read_attribute(self, out: Block, item: Tree[Any]) -> None:
        name, value = item.children
        assert isinstance(name, Token)
        if name in out.attributes:
            first = out.attributes[name].line
            raise self.error(name.line or 0, f"field '{name}' is set twice, first on line {first}")
        out.attributes[str(name)] = self.read_value(value)

    def read_block(self, item: Tree[Any], depth: int) -> Block:
        words = [child for child in item.children if isinstance(child, Token)]
        inner = [child for child in item.children if isinstance(child, Tree)]
        labels = [self.read_name(word) for word in words[1:]]
        return self.read_body(Block(str(words[0]), labels, item.meta.line), inner, depth + 1)

    def read_value(self, node: Any, depth: int = 0) -> Value:
        if depth > MAX_DEPTH:
            line = node.meta.line if isinstance(node, Tree) else node.line or 0
            raise self.error(line, f"values are nested over {MAX_DEPTH} deep")
        if not isinstance(node, Tree):
            return Value(self.read_literal(node), node.line or 0)
        if node.data == "list":
            return Value([self.read_value(child, depth + 1) for child in node.children], node.meta.line)
        return Value(self.read_object(node, depth), node.meta.line)

    def read_literal(self, token: Token) -> Any:
        text = str(token)
        match token.type:
            case "STRING":
                return self.read_string(token)
            case "HEREDOC":
                return _read_heredoc(text)
            case "NUMBER":
                return float(text) if any(mark in text for mark in ".eE") else int(text)
        if text not in LITERALS:
            meant = f'the text "{text}"'
            problem = f"'{text}' is not a value: there are no variables here; did you mean {meant}?"
            raise self.error(token.line or 0, problem)
        return LITERALS[text]

    def read_object(self, node: Tree[Any], depth: int) -> dict[str, Value]:
        pairs: dict[str, Value] = {}
        for pair in node.children:
            assert isinstance(pair, Tree)
            key, value = pair.children
            assert isinstance(key, Token)
            name = self.read_name(key)
            if name in pairs:
                raise self.error(key.line or 0, f"key '{name}' is repeated in one object")
            pairs[name] = self.read_value(value, depth + 1)
        return pairs

    def read_name(self, token: Token) -> str:
        """Return the text of a label or key, which is quoted or bare."""
        return self.read_string(token) if token.type == "STRING" else str(token)

    def read_string(self, token: Token) -> str:
        """Decode a quoted text and its escapes."""
        raw = str(token)[1:-1]
        if "${" in raw.replace("$${", "") or "%{" in raw.replace("%%{", ""):
            problem = "templates are not supported here; write '$${' for a literal '${'"
            raise self.error(token.line or 0, problem)
        parts = list[str]()
        at = 0
        while at < len(raw):
            if raw[at] == "\\":
                character, size = self.read_escape(raw, at + 1, token.line or 0)
                parts.append(character)
                at += 1 + size
            else:
                parts.append(raw[at])
                at += 1
        return "".join(parts).replace("$${", "${").replace("%%{", "%{")

    def read_escape(self, raw: str, at: int, line: int) -> tuple[str, int]:
        """Decode the escape after a backslash: return its character and how many characters it occupies."""
        kind = raw[at]
        if kind in ESCAPES:
            return ESCAPES[kind], 1
        size = UNICODE_DIGITS.get(kind, 0)
        digits = raw[at + 1 : at + 1 + size]
        if not size or len(digits) != size or not HEXADECIMAL.issuperset(digits):
            raise self.error(line, f"unknown escape '\\{kind}' in a text")
        return chr(min(int(digits, 16), MAX_CODE_POINT)), 1 + size


def _read_heredoc(raw: str) -> str:
    head, _, rest = raw.partition("\n")
    lines = rest.split("\n")[:-1]
    if head.startswith("<<-"):
        indent = min((len(line) - len(line.lstrip()) for line in lines if line.strip()), default=0)
        lines = [line[indent:] for line in lines]
    return "\n".join(lines) + "\n"


def _describe(error: UnexpectedInput, text: str) -> str:
    """Describe a syntax error and the likely intent."""
    if isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END":
        return "the file ends inside a block, a list or a text; is a closing '}' or ']' missing?"
    lines = text.split("\n")
    line = lines[error.line - 1].strip()[:QUOTED_LINE_CHARACTERS] if 0 < error.line <= len(lines) else ""
    found = getattr(error, "token", None) or getattr(error, "char", "")
    if isinstance(error, UnexpectedCharacters) and error.char == '"':
        return f"a text is not terminated: {line!r}; is a closing '\"' missing?"
    if found == ":":
        return f"unexpected ':' in {line!r}; did you mean '='?"
    if found == "(":
        return f"unexpected '(' in {line!r}: functions are not supported; write the value itself"
    return f"unexpected {str(found)[:QUOTED_TOKEN_CHARACTERS]!r} in {line!r}"


def parse(text: str, file: str) -> Block:
    """Parse an HCL text. Raises ConfigError, which names file, line and the likely intent."""
    if len(text) > MAX_FILE_BYTES:
        raise ConfigError.at(file, 1, f"the file is longer than {MAX_FILE_BYTES} characters")
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        line = error.line if error.line > 0 else text.count("\n") + 1
        raise ConfigError.at(file, line, _describe(error, text)) from None
    except RecursionError:
        raise ConfigError.at(file, 1, f"values are nested over {MAX_DEPTH} deep") from None
    return _TreeReader(file).read_body(Block("", [], 1), tree.children)


def read(path: Path) -> Block:
    """Read and parse an HCL file. Raises ConfigError if it cannot be read or parsed."""
    try:
        return parse(path.read_text(encoding="utf-8"), path.name)
    except OSError as error:
        raise ConfigError(f"{path.name}: {error.strerror}", file=path.name) from None
    except UnicodeDecodeError as error:
        problem = f"{path.name}: byte {error.start} is not valid UTF-8"
        raise ConfigError(problem, file=path.name) from None
