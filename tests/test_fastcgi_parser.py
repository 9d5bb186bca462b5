"""The size limits of the FastCGI parser."""

from __future__ import annotations

from onyxwick.lab.soak.hoarding import (
    MAX_RECORD_BYTES,
    ClientHoard,
    encode_begin,
    encode_params,
    hoarding_input,
)
from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_parser import MAX_IGNORED_REQUESTS, FastCgiParser


def test_an_endless_body_is_rejected_as_it_grows() -> None:
    parser, kind = FastCgiParser(), fastcgi.RecordType
    parser.buffer.append(fastcgi.encode_record(kind.BEGIN, 1, fastcgi.BEGIN_BODY.pack(1, 1)))
    parser.buffer.append(
        fastcgi.encode_record(kind.PARAMS, 1, b"") + fastcgi.encode_record(kind.STDIN, 1, bytes(48_000))
    )
    assert not list(parser.messages())
    parser.buffer.append(fastcgi.encode_record(kind.STDIN, 1, b"x") * 2)
    (reply,) = parser.messages()
    assert isinstance(reply, fastcgi.FastCgiReply) and reply.stop_reading and b"413" in reply.data


# Guards against: ids of aborted requests that a connection remembers without a bound.
def test_a_connection_remembers_a_bounded_number_of_aborted_requests() -> None:
    parser = FastCgiParser()
    parser.buffer.append(hoarding_input(ClientHoard.ABORTS))
    assert sum(1 for _ in parser.messages()) == MAX_RECORD_BYTES - 1
    assert len(parser.ignored_requests) == MAX_IGNORED_REQUESTS
    number = MAX_RECORD_BYTES - 1
    parser.buffer.append(fastcgi.encode_record(fastcgi.RecordType.STDIN, number, b""))
    assert not list(parser.messages())


# Guards against: parameters that take fifty times their size in memory once they are decoded.
def test_a_request_of_too_many_parameters_is_rejected() -> None:
    parser = FastCgiParser()
    pairs = {f"n{number}".encode(): b"" for number in range(fastcgi.MAX_PAIRS + 1)}
    parser.buffer.append(encode_begin(1) + encode_params(1, pairs))
    (reply,) = parser.messages()
    assert isinstance(reply, fastcgi.FastCgiReply) and b"400" in reply.data and not parser.partial
