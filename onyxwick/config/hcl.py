"""HCL as our configuration files use it: attributes, blocks with labels, literals, lists and objects.

The syntax is the HashiCorp Configuration Language's native one, without variables, functions, operators and
templates: a configuration says what holds and computes nothing. Every attribute, value and block keeps its
line, which the registry's HCL reader loses for attributes; hence a grammar of ours under lark.
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

MOST_BYTES = 16_777_216  # of one file: a bound on memory, far over what 10,000 tenants take
MOST_DEPTH = 32  # of blocks, lists and objects in one another
ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}
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
    """A literal (text, number, truth, None), a list of values or an object of them, with its line."""

    data: Any
    line: int

    def plain(self) -> Any:
        """The same without lines."""
        if isinstance(self.data, list):
            return [inner.plain() for inner in self.data]
        if isinstance(self.data, dict):
            return {key: inner.plain() for key, inner in self.data.items()}
        return self.data


@dataclass(slots=True)
class Block:
    """A block with its labels; the file itself is one without a type."""

    type: str
    labels: list[str]
    line: int
    attributes: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)

    def of(self, type_name: str) -> Iterator[Block]:
        return (block for block in self.blocks if block.type == type_name)


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", maybe_placeholders=False, propagate_positions=True)


class _Reader:
    """From lark's tree to blocks; errors name file and line."""

    def __init__(self, file: str) -> None:
        self.file = file

    def fail(self, line: int, text: str) -> ConfigError:
        return ConfigError(f"{self.file}:{line}: {text}")

    def body(self, out: Block, items: list[Any], depth: int = 0) -> Block:
        if depth > MOST_DEPTH:
            raise self.fail(out.line, f"blocks lie over {MOST_DEPTH} deep")
        line = 0
        for item in items:
            if item.meta.line == line:
                raise self.fail(line, "two settings on one line: each wants a line of its own")
            line = item.meta.end_line
            if item.data == "attribute":
                self.attribute(out, item)
            else:
                out.blocks.append(self.block(item, depth))
        return out

    def attribute(self, out: Block, item: Tree[Any]) -> None:
        name, value = item.children
        assert isinstance(name, Token)
        if name in out.attributes:
            first = out.attributes[name].line
            raise self.fail(name.line or 0, f"field '{name}' is set twice, first on line {first}")
        out.attributes[str(name)] = self.value(value)

    def block(self, item: Tree[Any], depth: int) -> Block:
        words = [child for child in item.children if isinstance(child, Token)]
        inner = [child for child in item.children if isinstance(child, Tree)]
        labels = [self.text(word) if word.type == "STRING" else str(word) for word in words[1:]]
        return self.body(Block(str(words[0]), labels, item.meta.line), inner, depth + 1)

    def value(self, node: Any, depth: int = 0) -> Value:
        if depth > MOST_DEPTH:
            raise self.fail(node.meta.line, f"values lie over {MOST_DEPTH} deep")
        if isinstance(node, Tree):
            line = node.meta.line
            if node.data == "list":
                return Value([self.value(child, depth + 1) for child in node.children], line)
            return Value(self.object(node, depth), line)
        line = node.line or 0
        match node.type:
            case "STRING":
                return Value(self.text(node), line)
            case "HEREDOC":
                return Value(_heredoc(str(node)), line)
            case "NUMBER":
                return Value(float(node) if any(mark in node for mark in ".eE") else int(node), line)
        words = {"true": True, "false": False, "null": None}
        if str(node) not in words:
            meant = f'the text "{node}"'
            raise self.fail(
                line, f"'{node}' is no value: names are not looked up here; did you mean {meant}?"
            )
        return Value(words[str(node)], line)

    def object(self, node: Tree[Any], depth: int) -> dict[str, Value]:
        out: dict[str, Value] = {}
        for pair in node.children:
            assert isinstance(pair, Tree)
            key, value = pair.children
            assert isinstance(key, Token)
            name = self.text(key) if key.type == "STRING" else str(key)
            if name in out:
                raise self.fail(key.line or 0, f"key '{name}' stands twice in one object")
            out[name] = self.value(value, depth + 1)
        return out

    def text(self, token: Token) -> str:
        raw, out, at = str(token)[1:-1], list[str](), 0
        if "${" in raw.replace("$${", "") or "%{" in raw.replace("%%{", ""):
            raise self.fail(
                token.line or 0, "templates are not filled in here; write '$${' for the two marks"
            )
        while at < len(raw):
            if raw[at] != "\\":
                out.append(raw[at])
                at += 1
                continue
            mark = raw[at + 1]
            if mark in ESCAPES:
                out.append(ESCAPES[mark])
                at += 2
                continue
            size = {"u": 4, "U": 8}.get(mark, 0)
            digits = raw[at + 2 : at + 2 + size]
            if not size or len(digits) != size or any(d not in "0123456789abcdefABCDEF" for d in digits):
                raise self.fail(token.line or 0, f"unknown escape '\\{mark}' in a text")
            out.append(chr(min(int(digits, 16), 0x10FFFF)))
            at += 2 + size
        return "".join(out).replace("$${", "${").replace("%%{", "%{")


def _heredoc(raw: str) -> str:
    head, _, rest = raw.partition("\n")
    lines = rest.split("\n")[:-1]
    if head.startswith("<<-"):
        indent = min((len(line) - len(line.lstrip()) for line in lines if line.strip()), default=0)
        lines = [line[indent:] for line in lines]
    return "\n".join(lines) + "\n"


def _intent(error: UnexpectedInput, text: str) -> str:
    """What is wrong at the place of a syntax error, in words."""
    if isinstance(error, UnexpectedEOF) or getattr(getattr(error, "token", None), "type", "") == "$END":
        return "the file ends inside a block, a list or a text; is a closing '}' or ']' missing?"
    line = text.split("\n")[error.line - 1].strip()[:64] if 0 < error.line <= text.count("\n") + 1 else ""
    found = getattr(error, "token", None) or getattr(error, "char", "")
    if isinstance(error, UnexpectedCharacters) and error.char == '"':
        return f"a text has no end: {line!r}; is a closing '\"' missing?"
    if found == ":":
        return f"unexpected ':' in {line!r}; did you mean '='?"
    if found == "(":
        return f"unexpected '(' in {line!r}: there are no functions here; write the value itself"
    return f"unexpected {str(found)[:24]!r} in {line!r}"


def parse(text: str, file: str) -> Block:
    """The blocks of an HCL text; ConfigError names file, line and what was probably meant."""
    if len(text) > MOST_BYTES:
        raise ConfigError(f"{file}:1: over {MOST_BYTES} bytes")
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        line = error.line if error.line > 0 else text.count("\n") + 1
        raise ConfigError(f"{file}:{line}: {_intent(error, text)}") from None
    except RecursionError:
        raise ConfigError(f"{file}:1: values lie over {MOST_DEPTH} deep") from None
    return _Reader(file).body(Block("", [], 1), tree.children)


def read(path: Path) -> Block:
    """The blocks of an HCL file."""
    try:
        return parse(path.read_text(encoding="utf-8"), path.name)
    except OSError as error:
        raise ConfigError(f"{path.name}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path.name}: byte {error.start} is no UTF-8 text") from None
