"""`onyxwick trace`: cuts, merges, anonymises, summarises, explains, audits, compares and exports traces."""

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
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")
file_argument = click.argument("file", type=click.Path(path_type=Path))
files_argument = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
Command = Callable[..., None]


def _report_unusable(command: Command) -> Command:
    """Wrap a command so that errors in reading or writing a trace file become UnusableInputError."""

    @wraps(command)
    def wrapped(*arguments: Any, **options_by_name: Any) -> None:
        try:
            command(*arguments, **options_by_name)
        except TraceError as error:
            raise UnusableInputError(str(error)) from None
        except OSError as error:
            raise UnusableInputError(f"{error.filename or ''}: {error.strerror}") from None

    return wrapped


def read_time(text: str | None) -> int | None:
    """Convert Unix seconds, or an ISO time (UTC if it names no zone), to Unix microseconds."""
    if text is None:
        return None
    try:
        return int(float(text) * US_PER_S)
    except ValueError:
        pass
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        raise UnusableInputError(
            f"{text!r} is not a time; expected 1767262800.5 or 2026-03-02T07:00:00"
        ) from None
    return int((when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp() * US_PER_S)


def _with_filter(command: Command) -> Command:
    """Add the options that select requests; the command receives them as one TraceFilter, `wanted`."""
    verdicts = {word: verdict for verdict, word in VERDICT_WORDS.items()}
    options = [
        click.option("--from", "begin", help="Only requests that arrived at this time or later."),
        click.option("--to", "end", help="Only requests that arrived before this time."),
        click.option("--class", "class_name"),
        click.option("--tenant"),
        click.option("--cell"),
        click.option("--object"),
        click.option("--member", help="Only requests with an attempt at this member."),
        click.option("--verdict", type=click.Choice(list(verdicts))),
    ]

    @wraps(command)
    def wrapped(**options_by_name: Any) -> None:
        from onyxwick.trace.filter import TraceFilter

        chosen = {n: options_by_name.pop(n) for n in ("class_name", "tenant", "cell", "object", "member")}
        verdict = options_by_name.pop("verdict")
        begin = read_time(options_by_name.pop("begin"))
        end = read_time(options_by_name.pop("end"))
        options_by_name["wanted"] = TraceFilter(
            begin, end, **chosen, verdict=verdicts[verdict] if verdict else None
        )
        command(**options_by_name)

    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def _report_losses(traces: list[TraceReader]) -> list[str]:
    """Print the losses in the files to standard error, and return the printed texts."""
    texts = [
        f"{reader.path.name}: {loss.size} bytes at {loss.offset} lost: {loss.cause}"
        for reader in traces
        for loss in reader.losses
    ]
    for text in texts:
        click.echo(text, err=True)
    return texts


@click.group()
def trace() -> None:
    """Cut, merge, anonymise, summarise, explain, audit, compare and export traces."""


@trace.command()
@files_argument
@json_option
@_report_unusable
def info(files: tuple[Path, ...], as_json: bool) -> None:
    """Show each file's director, time span and size; exit 1 if part of a file is lost."""
    rows = [_trace_info(path) for path in files]
    if as_json:
        click.echo(json.dumps({"files": rows}))
    else:
        for row in rows:
            click.echo("\n".join(f"{name}: {value}" for name, value in row.items()))
    if any(row["losses"] for row in rows):
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


def _trace_info(path: Path) -> dict[str, Any]:
    """Return the fields that `info` prints for one file. Reads all of its blocks."""
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(path) as reader:
        for _ in reader.tables(StringTable()):
            pass
        heads = [entry.head for entry in reader.entries]
        return {
            "file": path.name,
            "director": reader.header.director,
            "version": ".".join(map(str, reader.header.version)),
            "index": "whole" if reader.indexed else "made anew",
            "blocks": len(heads),
            "requests": sum(head.lives for head in heads),
            "dropped": sum(head.dropped for head in heads),
            "open_at_end": heads[-1].open if heads else 0,
            "begin_unix": min((head.first for head in heads if head.first), default=0) / US_PER_S,
            "end_unix": max((head.last for head in heads), default=0) / US_PER_S,
            "bytes": reader.size,
            "clocks": reader.header.clocks,
            "losses": [f"{loss.size} bytes at {loss.offset}: {loss.cause}" for loss in reader.losses],
        }


@trace.command()
@file_argument
@click.argument("out", type=click.Path(path_type=Path))
@_with_filter
@json_option
@_report_unusable
def cut(file: Path, out: Path, wanted: TraceFilter, as_json: bool) -> None:
    """Write to OUT the selected requests, and all notifications in the selected time range."""
    from onyxwick.trace.filter import select_requests
    from onyxwick.trace.merge import TraceFileWriter
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(file) as reader:
        writer = TraceFileWriter(out, reader.header)
        for table in select_requests(reader, wanted, StringTable()):
            writer.add(table)
        writer.close()
        result: dict[str, Any] = {
            "requests": writer.request_count,
            "read_bytes": reader.read_bytes,
            "file_bytes": reader.size,
            "losses": _report_losses([reader]),
        }
    text = f"{result['requests']} requests; {result['read_bytes']} bytes read"
    click.echo(json.dumps(result) if as_json else text)


@trace.command()
@click.argument("out", type=click.Path(path_type=Path))
@files_argument
@json_option
@_report_unusable
def merge(out: Path, files: tuple[Path, ...], as_json: bool) -> None:
    """Write to OUT the FILES of several directors, in the order in which the events happened."""
    from onyxwick.trace.merge import merge_files

    result = merge_files(list(files), out)
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
@click.option("--key", required=True, type=click.Path(path_type=Path), help="Key file of 32 bytes or more.")
@_report_unusable
def anonymise(file: Path, out: Path, key: Path) -> None:
    """Write to OUT the same trace with every id and name replaced by means of the key."""
    from onyxwick.trace.anonymise import Anonymiser, read_key
    from onyxwick.trace.merge import TraceFileWriter
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    anonymiser = Anonymiser(read_key(key))
    with open_trace(file) as reader:
        writer = TraceFileWriter(out, anonymiser.header(reader.header))
        anonymised_strings = StringTable()
        for head, table in reader.tables(StringTable()):
            writer.add(anonymiser.table(table, anonymised_strings), head.dropped)
        writer.close()
        _report_losses([reader])
    click.echo(f"{writer.request_count} requests")


@trace.command()
@files_argument
@_with_filter
@click.option("--plots", type=click.Path(path_type=Path), help="Folder for PNG files and an HTML page.")
@json_option
@_report_unusable
def summarise(files: tuple[Path, ...], wanted: TraceFilter, plots: Path | None, as_json: bool) -> None:
    """Summarise worth, verdicts, latencies, retries and sources by class, tenant, cell and member."""
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.summary import Summary
    from onyxwick.trace.table import StringTable

    summary = None
    for path in files:
        with open_trace(path) as reader:
            summary = summary or Summary(reader.header)
            for head, table in reader.tables(StringTable(), wanted.may_match):
                rows = wanted.matching_rows(table)
                summary.add(table if rows.all() else table.take(rows.nonzero()[0]), head.dropped)
            _report_losses([reader])
    assert summary is not None
    if plots:
        from onyxwick.trace.plots import write

        write(summary, plots, ", ".join(path.name for path in files))
    document = summary.as_document()
    click.echo(json.dumps(document)) if as_json else _print_summary(document)


def _print_summary(document: dict[str, Any]) -> None:
    worst = f"worst ten seconds {document['worst']}"
    click.echo(f"{document['requests']} requests, {document['dropped']} dropped, {worst}")
    for kind in SUMMARY_KINDS:
        for name, row in document[kind].items():
            click.echo(
                f"{kind} {name or '(none)'}: {row['requests']} requests, service {row['service']:.4f}, served"
                f" {row['served']}, refused {row['refused']}, failed {row['failed']}, left {row['left']},"
                f" p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms"
            )
    click.echo(f"answers {document['answers']}, bytes filled {document['fill_bytes']}")


@trace.command()
@files_argument
@click.option("--request", required=True, help="Id of the request.")
@_report_unusable
def explain(files: tuple[Path, ...], request: str) -> None:
    """Explain the course of one request; exit 1 if no file contains it."""
    from onyxwick.trace.explain import explain_request
    from onyxwick.trace.filter import TraceFilter, select_requests
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    found = 0
    with ExitStack() as stack:
        for reader in [stack.enter_context(open_trace(path)) for path in files]:
            for table in select_requests(
                reader, TraceFilter(request=request), StringTable(), notifications=False
            ):
                for row in range(len(table)):
                    click.echo("\n".join(explain_request(table, row)))
                    found += 1
    if not found:
        click.echo(f"request {request} is in none of the files", err=True)
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@trace.command()
@file_argument
@json_option
@_report_unusable
def audit(file: Path, as_json: bool) -> None:
    """Check the rules in one file (for several directors, a merged one); exit 1 if a rule is broken."""
    from onyxwick.trace.audit import Auditor
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    with open_trace(file) as reader:
        strings = StringTable()
        tables = reader.tables(strings, lambda head: head.told > 0)
        auditor = Auditor(reader.header, [notice for _, table in tables for notice in table.notifications])
        for _, table in reader.tables(strings):
            auditor.add(table)
        report = auditor.report()
        _report_losses([reader])
    document = report.as_document()
    if as_json:
        click.echo(json.dumps(document))
    else:
        for rule, verdict in document["verdicts"].items():
            click.echo(f"{rule}: {verdict} ({document['looked_at'].get(rule, 0)} cases)")
        for row in (*document["broken"][:MAX_PRINTED_ROWS], *document["doubtful"][:MAX_PRINTED_ROWS]):
            click.echo(json.dumps(row))
    if report.broken:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@trace.command()
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", required=False, type=click.Path(path_type=Path))
@click.option("--a-from", help="Start of the window of A.")
@click.option("--a-to")
@click.option("--b-from", help="Start of the window of B, or of a second window of A without B.")
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
    """List the contributions to the worth that B lost beyond A's losses, the largest first."""
    from onyxwick.trace.compare import compare as compare_losses
    from onyxwick.trace.compare import losses
    from onyxwick.trace.filter import TraceFilter, select_requests
    from onyxwick.trace.reader import open_trace
    from onyxwick.trace.table import StringTable

    def window(path: Path, begin: str | None, end: str | None) -> Any:
        with open_trace(path) as reader:
            wanted = TraceFilter(read_time(begin), read_time(end))
            tables: Iterator[Table] = select_requests(reader, wanted, StringTable(), notifications=False)
            return losses(reader.header, tables)

    result = compare_losses(window(a, a_from, a_to), window(b or a, b_from, b_to))
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

    with open_trace(file) as reader:
        tables = (table for _, table in reader.tables(StringTable()) if len(table))
        write = exports.json_lines if kind == "json" else exports.parquet
        count = write(tables, out)
        _report_losses([reader])
    click.echo(f"{count} requests", file=sys.stdout)
