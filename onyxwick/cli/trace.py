"""`onyxwick trace`: what a trace tells."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from onyxwick.cli import UnusableInputError
from onyxwick.trace.model import RecordedVerdict, TraceError

if TYPE_CHECKING:
    from onyxwick.trace.filter import TraceFilter
    from onyxwick.trace.reader import Trace
    from onyxwick.trace.table import Strings, Table

S = 1_000_000
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
file_argument = click.argument("file", type=click.Path(path_type=Path))
files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
Command = Callable[..., None]


def _usable(command: Command) -> Command:
    """A file that cannot be used ends with exit code 2 and a word about it."""

    @wraps(command)
    def wrapped(*words: Any, **named: Any) -> None:
        try:
            command(*words, **named)
        except TraceError as error:
            raise UnusableInputError(str(error)) from None
        except OSError as error:
            raise UnusableInputError(f"{error.filename or ''}: {error.strerror}") from None

    return wrapped


def read_time(text: str | None) -> int | None:
    """Unix seconds, or an ISO time (UTC where it names no zone), as Unix us."""
    if text is None:
        return None
    try:
        return int(float(text) * S)
    except ValueError:
        pass
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        raise UnusableInputError(f"{text!r} is no time; as 1767262800.5 or 2026-03-02T07:00:00") from None
    return int((when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp() * S)


def _wanting(command: Command) -> Command:
    """The options that choose requests, given to the command as one `wanted`."""
    verdicts = click.Choice([v.name.lower() for v in RecordedVerdict])
    options = [
        click.option("--from", "begin", help="Arrived at this time or later."),
        click.option("--to", "end", help="Arrived before this time."),
        click.option("--class", "class_name"),
        click.option("--tenant"),
        click.option("--cell"),
        click.option("--object"),
        click.option("--member", help="With an attempt at this member."),
        click.option("--verdict", type=verdicts),
    ]

    @wraps(command)
    def wrapped(**named: Any) -> None:
        from onyxwick.trace.filter import TraceFilter

        chosen = {n: named.pop(n) for n in ("class_name", "tenant", "cell", "object", "member")}
        verdict = named.pop("verdict")
        begin, end = read_time(named.pop("begin")), read_time(named.pop("end"))
        named["wanted"] = TraceFilter(
            begin, end, **chosen, verdict=RecordedVerdict[verdict.upper()] if verdict else None
        )
        command(**named)

    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def _losses(traces: list[Trace]) -> list[str]:
    out = [f"{t.path.name}: {x.size} bytes at {x.offset} lost: {x.text}" for t in traces for x in t.losses]
    for text in out:
        click.echo(text, err=True)
    return out


@click.group()
def trace() -> None:
    """What a trace tells."""


@trace.command()
@files_argument
@json_option
@_usable
def info(files: tuple[Path, ...], as_json: bool) -> None:
    """Who wrote each file, when, how much is in it; exit 1 where some of it is lost."""
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import Strings

    rows, lost = [], False
    for path in files:
        with open_trace(path) as opened:
            strings = Strings()
            for _ in opened.tables(strings):
                pass
            heads = [e.head for e in opened.entries]
            row: dict[str, Any] = {
                "file": path.name,
                "director": opened.header.director,
                "version": ".".join(map(str, opened.header.version)),
                "index": "whole" if opened.indexed else "made anew",
                "blocks": len(heads),
                "requests": sum(h.lives for h in heads),
                "dropped": sum(h.dropped for h in heads),
                "open_at_end": heads[-1].open if heads else 0,
                "begin_unix": min((h.first for h in heads if h.first), default=0) / S,
                "end_unix": max((h.last for h in heads), default=0) / S,
                "bytes": opened.size,
                "clocks": opened.header.clocks,
                "losses": [f"{x.size} bytes at {x.offset}: {x.text}" for x in opened.losses],
            }
            lost |= bool(opened.losses)
            rows.append(row)
    if as_json:
        click.echo(json.dumps({"files": rows}))
    for row in rows if not as_json else ():
        click.echo("\n".join(f"{name}: {value}" for name, value in row.items()))
    if lost:
        raise click.exceptions.Exit(1)


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@_wanting
@json_option
@_usable
def cut(file: Path, out: Path, wanted: TraceFilter, as_json: bool) -> None:
    """Write to OUT the requests that are wanted, and what was told in that time."""
    from onyxwick.trace.filter import cut as chosen
    from onyxwick.trace.merge import TraceWriter
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import Strings

    with open_trace(file) as opened:
        writer = TraceWriter(out, opened.header)
        for table in chosen(opened, wanted, Strings()):
            writer.add(table)
        writer.close()
        told: dict[str, Any] = {
            "requests": writer.lives,
            "read_bytes": opened.read_bytes,
            "file_bytes": opened.size,
        }
        told |= {"losses": _losses([opened])}
    click.echo(
        json.dumps(told) if as_json else f"{told['requests']} requests; {told['read_bytes']} bytes read"
    )


@trace.command()
@click.argument("out", type=click.Path(path_type=Path))
@files_argument
@json_option
@_usable
def merge(out: Path, files: tuple[Path, ...], as_json: bool) -> None:
    """Write to OUT the FILES of several directors, in the order of what happened."""
    from onyxwick.trace.merge import merge as merged

    told = merged(list(files), out)
    if as_json:
        click.echo(json.dumps(told))
        return
    click.echo(f"{told['requests']} requests")
    for name, row in told["clocks"].items():
        click.echo(
            f"{name}: {row['offset_us'] / 1000:.1f} ms ahead, drift {row['drift_ppm']:.1f} ppm, doubt"
            f" {row['doubt_us'] / 1000:.1f} ms, from {row['events']:.0f} events, {row['retries']:.0f} retries"
        )
    for text in told["losses"]:
        click.echo(text, err=True)


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--key", required=True, type=click.Path(path_type=Path), help="A file of 32 bytes or more.")
@_usable
def anonymise(file: Path, out: Path, key: Path) -> None:
    """Write to OUT the same trace with every id and name hidden by the key."""
    from onyxwick.trace.anonymise import Anonymiser, read_key
    from onyxwick.trace.merge import TraceWriter
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import Strings

    hide = Anonymiser(read_key(key))
    with open_trace(file) as opened:
        writer, old, new = TraceWriter(out, hide.header(opened.header)), Strings(), Strings()
        for head, table in opened.tables(old):
            writer.add(hide.table(table, new), head.dropped)
        writer.close()
        _losses([opened])
    click.echo(f"{writer.lives} requests")


def _tables(stack: ExitStack, files: tuple[Path, ...], strings: Strings) -> tuple[list[Trace], Any]:
    from onyxwick.trace.reader import open_trace

    traces = [stack.enter_context(open_trace(path)) for path in files]
    return traces, (pair for opened in traces for pair in opened.tables(strings))


@trace.command()
@files_argument
@_wanting
@click.option("--plots", type=click.Path(path_type=Path), help="A folder for PNG files and an HTML page.")
@json_option
@_usable
def summarise(files: tuple[Path, ...], wanted: TraceFilter, plots: Path | None, as_json: bool) -> None:
    """Worth, verdicts, latencies, retries and sources by class, tenant, cell and member."""
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.summary import Summary
    from onyxwick.trace.table import Strings

    summary = None
    for path in files:
        with open_trace(path) as opened:
            summary = summary or Summary(opened.header)
            for head, table in opened.tables(Strings(), wanted.in_block):
                rows = wanted.rows(table)
                summary.add(table if rows.all() else table.take(rows.nonzero()[0]), head.dropped)
            _losses([opened])
    assert summary is not None
    if plots:
        from onyxwick.trace.plots import write

        write(summary, plots, ", ".join(path.name for path in files))
    told = summary.shown()
    click.echo(json.dumps(told)) if as_json else _print_summary(told)


def _print_summary(told: dict[str, Any]) -> None:
    click.echo(f"{told['requests']} requests, {told['dropped']} dropped, worst ten seconds {told['worst']}")
    for kind in ("class", "tenant", "cell", "member"):
        for name, row in told[kind].items():
            click.echo(
                f"{kind} {name or '(none)'}: {row['requests']} requests, service {row['service']:.4f}, served"
                f" {row['served']}, refused {row['refused']}, failed {row['failed']}, left {row['left']},"
                f" p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms"
            )
    click.echo(f"answers {told['answers']}, bytes filled {told['fill_bytes']}")


@trace.command()
@files_argument
@click.option("--request", required=True, help="The request's id.")
@_usable
def explain(files: tuple[Path, ...], request: str) -> None:
    """Tell one request's story; exit 1 where no file has it."""
    from onyxwick.trace.explain import explain as story
    from onyxwick.trace.filter import TraceFilter
    from onyxwick.trace.filter import cut as chosen
    from onyxwick.trace.table import Strings

    found = 0
    with ExitStack() as stack:
        traces, _ = _tables(stack, files, Strings())
        for opened in traces:
            for table in chosen(opened, TraceFilter(request=request), Strings(), told=False):
                for row in range(len(table)):
                    click.echo("\n".join(story(table, row)))
                    found += 1
    if not found:
        click.echo(f"no request {request} here", err=True)
        raise click.exceptions.Exit(1)


@trace.command()
@file_argument
@json_option
@_usable
def audit(file: Path, as_json: bool) -> None:
    """Judge the rules from one file (of several directors: a merged one); exit 1 where one is broken."""
    from onyxwick.trace.audit import Audit
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import Strings

    with open_trace(file) as opened:
        strings = Strings()
        told = [t for _, table in opened.tables(strings, lambda h: h.told > 0) for t in table.told]
        judge = Audit(opened.header, told)
        for _, table in opened.tables(strings):
            judge.add(table)
        report = judge.report()
        _losses([opened])
    shown = report.shown()
    if as_json:
        click.echo(json.dumps(shown))
    else:
        for rule, verdict in shown["verdicts"].items():
            click.echo(f"{rule}: {verdict} ({shown['looked_at'].get(rule, 0)} cases)")
        for row in (*shown["broken"][:20], *shown["doubtful"][:20]):
            click.echo(json.dumps(row))
    if report.broken:
        raise click.exceptions.Exit(1)


@trace.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", required=False, type=click.Path(path_type=Path))
@click.option("--a-from", help="Window of A.")
@click.option("--a-to")
@click.option("--b-from", help="Window of B (of A again, where no B is given).")
@click.option("--b-to")
@click.option("--most", default=20, show_default=True)
@json_option
@_usable
def compare(
    a: Path,
    b: Path | None,
    a_from: str | None,
    a_to: str | None,
    b_from: str | None,
    b_to: str | None,
    most: int,
    as_json: bool,
) -> None:
    """What accounts for the worth that B lost more than A, the largest first."""
    from onyxwick.trace.compare import compare as compared
    from onyxwick.trace.compare import losses
    from onyxwick.trace.filter import TraceFilter
    from onyxwick.trace.filter import cut as chosen
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import Strings

    def window(path: Path, begin: str | None, end: str | None) -> Any:
        with open_trace(path) as opened:
            wanted = TraceFilter(read_time(begin), read_time(end))
            tables: Iterator[Table] = chosen(opened, wanted, Strings(), told=False)
            return losses(opened.header, tables)

    told = compared(window(a, a_from, a_to), window(b or a, b_from, b_to))
    told["rows"] = told["rows"][:most]
    if as_json:
        click.echo(json.dumps(told))
        return
    click.echo(f"service {told['service_a']:.4f} against {told['service_b']:.4f}")
    for row in told["rows"]:
        rates = f"({row['loss_a']:.1%} to {row['loss_b']:.1%} lost)"
        worse = f"{row['by_worse_service']:+.4f} by worse service {rates}"
        name = f"{row['kind']} {row['name'] or '(none)'}"
        click.echo(f"{row['lost_more']:+.4f} {name}: {worse}, {row['by_more_of_it']:+.4f} by more of it")


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--format", "kind", type=click.Choice(["json", "parquet"]), default="json", show_default=True)
@_usable
def export(file: Path, out: Path, kind: str) -> None:
    """Write FILE to OUT as JSON lines or Parquet."""
    from onyxwick.trace import export as exports
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import Strings

    with open_trace(file) as opened:
        tables = (table for _, table in opened.tables(Strings()) if len(table))
        write = exports.json_lines if kind == "json" else exports.parquet
        count = write(tables, out)
        _losses([opened])
    click.echo(f"{count} requests", file=sys.stdout)
