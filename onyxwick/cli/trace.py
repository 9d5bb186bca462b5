"""`onyxwick trace`: what a trace tells: cut, merge, summarise, explain, audit, compare and export."""

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

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.trace.model import VERDICT_WORDS, TraceError

if TYPE_CHECKING:
    from onyxwick.trace.filter import TraceFilter
    from onyxwick.trace.reader import TraceReader
    from onyxwick.trace.table import Table

US_PER_S = 1_000_000
MAX_PRINTED_ROWS = 20
SUMMARY_KINDS = ("class", "tenant", "cell", "member")
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
file_argument = click.argument("file", type=click.Path(path_type=Path))
files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
Command = Callable[..., None]


def _report_unusable(command: Command) -> Command:
    """Turn errors about a trace file into UnusableInputError."""

    @wraps(command)
    def wrapped(*arguments: Any, **named: Any) -> None:
        try:
            command(*arguments, **named)
        except TraceError as error:
            raise UnusableInputError(str(error)) from None
        except OSError as error:
            raise UnusableInputError(f"{error.filename or ''}: {error.strerror}") from None

    return wrapped


def read_time(text: str | None) -> int | None:
    """Unix seconds, or an ISO time (UTC where it names no zone), as Unix microseconds."""
    if text is None:
        return None
    try:
        return int(float(text) * US_PER_S)
    except ValueError:
        pass
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        raise UnusableInputError(f"{text!r} is no time; as 1767262800.5 or 2026-03-02T07:00:00") from None
    return int((when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp() * US_PER_S)


def _with_filter(command: Command) -> Command:
    """Add the options that select requests; the command receives them as one `wanted`."""
    verdicts = {word: verdict for verdict, word in VERDICT_WORDS.items()}
    options = [
        click.option("--from", "begin", help="Arrived at this time or later."),
        click.option("--to", "end", help="Arrived before this time."),
        click.option("--class", "class_name"),
        click.option("--tenant"),
        click.option("--cell"),
        click.option("--object"),
        click.option("--member", help="With an attempt at this member."),
        click.option("--verdict", type=click.Choice(list(verdicts))),
    ]

    @wraps(command)
    def wrapped(**named: Any) -> None:
        from onyxwick.trace.filter import TraceFilter

        chosen = {n: named.pop(n) for n in ("class_name", "tenant", "cell", "object", "member")}
        verdict = named.pop("verdict")
        begin = read_time(named.pop("begin"))
        end = read_time(named.pop("end"))
        named["wanted"] = TraceFilter(begin, end, **chosen, verdict=verdicts[verdict] if verdict else None)
        command(**named)

    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def _report_losses(traces: list[TraceReader]) -> list[str]:
    """Print what is lost in the files on standard error; the same as texts."""
    texts = [f"{t.path.name}: {x.size} bytes at {x.offset} lost: {x.cause}" for t in traces for x in t.losses]
    for text in texts:
        click.echo(text, err=True)
    return texts


@click.group()
def trace() -> None:
    """What a trace tells."""


@trace.command()
@files_argument
@json_option
@_report_unusable
def info(files: tuple[Path, ...], as_json: bool) -> None:
    """Who wrote each file, when, how much is in it; exit 1 where some of it is lost."""
    rows = [_describe(path) for path in files]
    if as_json:
        click.echo(json.dumps({"files": rows}))
    else:
        for row in rows:
            click.echo("\n".join(f"{name}: {value}" for name, value in row.items()))
    if any(row["losses"] for row in rows):
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


def _describe(path: Path) -> dict[str, Any]:
    """What `info` prints of one file; all its blocks are read."""
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(path) as opened:
        for _ in opened.tables(StringTable()):
            pass
        heads = [entry.head for entry in opened.entries]
        return {
            "file": path.name,
            "director": opened.header.director,
            "version": ".".join(map(str, opened.header.version)),
            "index": "whole" if opened.indexed else "made anew",
            "blocks": len(heads),
            "requests": sum(head.lives for head in heads),
            "dropped": sum(head.dropped for head in heads),
            "open_at_end": heads[-1].open if heads else 0,
            "begin_unix": min((head.first for head in heads if head.first), default=0) / US_PER_S,
            "end_unix": max((head.last for head in heads), default=0) / US_PER_S,
            "bytes": opened.size,
            "clocks": opened.header.clocks,
            "losses": [f"{loss.size} bytes at {loss.offset}: {loss.cause}" for loss in opened.losses],
        }


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@_with_filter
@json_option
@_report_unusable
def cut(file: Path, out: Path, wanted: TraceFilter, as_json: bool) -> None:
    """Write to OUT the requests that are wanted, and what was told in that time."""
    from onyxwick.trace.filter import select_requests as chosen
    from onyxwick.trace.merge import TraceFileWriter
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(file) as opened:
        writer = TraceFileWriter(out, opened.header)
        for table in chosen(opened, wanted, StringTable()):
            writer.add(table)
        writer.close()
        result: dict[str, Any] = {
            "requests": writer.request_count,
            "read_bytes": opened.read_bytes,
            "file_bytes": opened.size,
            "losses": _report_losses([opened]),
        }
    text = f"{result['requests']} requests; {result['read_bytes']} bytes read"
    click.echo(json.dumps(result) if as_json else text)


@trace.command()
@click.argument("out", type=click.Path(path_type=Path))
@files_argument
@json_option
@_report_unusable
def merge(out: Path, files: tuple[Path, ...], as_json: bool) -> None:
    """Write to OUT the FILES of several directors, in the order of what happened."""
    from onyxwick.trace.merge import merge_files as merged

    result = merged(list(files), out)
    if as_json:
        click.echo(json.dumps(result))
        return
    click.echo(f"{result['requests']} requests")
    for name, row in result["clocks"].items():
        click.echo(
            f"{name}: {row['offset_us'] / 1000:.1f} ms ahead, drift {row['drift_ppm']:.1f} ppm, doubt"
            f" {row['doubt_us'] / 1000:.1f} ms, from {row['events']:.0f} events, {row['retries']:.0f} retries"
        )
    for text in result["losses"]:
        click.echo(text, err=True)


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--key", required=True, type=click.Path(path_type=Path), help="A file of 32 bytes or more.")
@_report_unusable
def anonymise(file: Path, out: Path, key: Path) -> None:
    """Write to OUT the same trace with every id and name hidden by the key."""
    from onyxwick.trace.anonymise import Anonymiser, read_key
    from onyxwick.trace.merge import TraceFileWriter
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    hide = Anonymiser(read_key(key))
    with open_trace(file) as opened:
        writer = TraceFileWriter(out, hide.header(opened.header))
        hidden = StringTable()
        for head, table in opened.tables(StringTable()):
            writer.add(hide.table(table, hidden), head.dropped)
        writer.close()
        _report_losses([opened])
    click.echo(f"{writer.request_count} requests")


@trace.command()
@files_argument
@_with_filter
@click.option("--plots", type=click.Path(path_type=Path), help="A folder for PNG files and an HTML page.")
@json_option
@_report_unusable
def summarise(files: tuple[Path, ...], wanted: TraceFilter, plots: Path | None, as_json: bool) -> None:
    """Worth, verdicts, latencies, retries and sources by class, tenant, cell and member."""
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.summary import Summary
    from onyxwick.trace.table import StringTable

    summary = None
    for path in files:
        with open_trace(path) as opened:
            summary = summary or Summary(opened.header)
            for head, table in opened.tables(StringTable(), wanted.may_match):
                rows = wanted.matching_rows(table)
                summary.add(table if rows.all() else table.take(rows.nonzero()[0]), head.dropped)
            _report_losses([opened])
    assert summary is not None
    if plots:
        from onyxwick.trace.plots import write

        write(summary, plots, ", ".join(path.name for path in files))
    shown = summary.as_document()
    click.echo(json.dumps(shown)) if as_json else _print_summary(shown)


def _print_summary(shown: dict[str, Any]) -> None:
    worst = f"worst ten seconds {shown['worst']}"
    click.echo(f"{shown['requests']} requests, {shown['dropped']} dropped, {worst}")
    for kind in SUMMARY_KINDS:
        for name, row in shown[kind].items():
            click.echo(
                f"{kind} {name or '(none)'}: {row['requests']} requests, service {row['service']:.4f}, served"
                f" {row['served']}, refused {row['refused']}, failed {row['failed']}, left {row['left']},"
                f" p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms"
            )
    click.echo(f"answers {shown['answers']}, bytes filled {shown['fill_bytes']}")


@trace.command()
@files_argument
@click.option("--request", required=True, help="The request's id.")
@_report_unusable
def explain(files: tuple[Path, ...], request: str) -> None:
    """Tell one request's story; exit 1 where no file has it."""
    from onyxwick.trace.explain import explain_request as story
    from onyxwick.trace.filter import TraceFilter
    from onyxwick.trace.filter import select_requests as chosen
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    found = 0
    with ExitStack() as stack:
        for opened in [stack.enter_context(open_trace(path)) for path in files]:
            for table in chosen(opened, TraceFilter(request=request), StringTable(), notifications=False):
                for row in range(len(table)):
                    click.echo("\n".join(story(table, row)))
                    found += 1
    if not found:
        click.echo(f"no request {request} here", err=True)
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@trace.command()
@file_argument
@json_option
@_report_unusable
def audit(file: Path, as_json: bool) -> None:
    """Judge the rules from one file (of several directors: a merged one); exit 1 where one is broken."""
    from onyxwick.trace.audit import Auditor
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(file) as opened:
        strings = StringTable()
        tables = opened.tables(strings, lambda head: head.told > 0)
        judge = Auditor(opened.header, [notice for _, table in tables for notice in table.notifications])
        for _, table in opened.tables(strings):
            judge.add(table)
        report = judge.report()
        _report_losses([opened])
    shown = report.as_document()
    if as_json:
        click.echo(json.dumps(shown))
    else:
        for rule, verdict in shown["verdicts"].items():
            click.echo(f"{rule}: {verdict} ({shown['looked_at'].get(rule, 0)} cases)")
        for row in (*shown["broken"][:MAX_PRINTED_ROWS], *shown["doubtful"][:MAX_PRINTED_ROWS]):
            click.echo(json.dumps(row))
    if report.broken:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@trace.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", required=False, type=click.Path(path_type=Path))
@click.option("--a-from", help="Window of A.")
@click.option("--a-to")
@click.option("--b-from", help="Window of B (of A again, where no B is given).")
@click.option("--b-to")
@click.option("--most", default=20, show_default=True)
@json_option
@_report_unusable
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
    from onyxwick.trace.filter import select_requests as chosen
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    def window(path: Path, begin: str | None, end: str | None) -> Any:
        with open_trace(path) as opened:
            wanted = TraceFilter(read_time(begin), read_time(end))
            tables: Iterator[Table] = chosen(opened, wanted, StringTable(), notifications=False)
            return losses(opened.header, tables)

    result = compared(window(a, a_from, a_to), window(b or a, b_from, b_to))
    result["rows"] = result["rows"][:most]
    if as_json:
        click.echo(json.dumps(result))
        return
    click.echo(f"service {result['service_a']:.4f} against {result['service_b']:.4f}")
    for row in result["rows"]:
        rates = f"({row['loss_a']:.1%} to {row['loss_b']:.1%} lost)"
        worse = f"{row['by_worse_service']:+.4f} by worse service {rates}"
        name = f"{row['kind']} {row['name'] or '(none)'}"
        click.echo(f"{row['lost_more']:+.4f} {name}: {worse}, {row['by_more_of_it']:+.4f} by more of it")


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--format", "kind", type=click.Choice(["json", "parquet"]), default="json", show_default=True)
@_report_unusable
def export(file: Path, out: Path, kind: str) -> None:
    """Write FILE to OUT as JSON lines or Parquet."""
    from onyxwick.trace import export as exports
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(file) as opened:
        tables = (table for _, table in opened.tables(StringTable()) if len(table))
        write = exports.json_lines if kind == "json" else exports.parquet
        count = write(tables, out)
        _report_losses([opened])
    click.echo(f"{count} requests", file=sys.stdout)
