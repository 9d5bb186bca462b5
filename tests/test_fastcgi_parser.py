"""The size limits of the FastCGI parser."""

from __future__ import annotations

from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_parser import FastCgiParser


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
