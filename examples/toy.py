"""A toy depot for trying the director: caches that make their answers up, and a coordinator.

python examples/toy.py serve                 caches and coordinator, until interrupted
python examples/toy.py ask CLASS OBJECT      one FastCGI request to the director, its answer printed
"""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import time
from pathlib import Path

from onyxwick.config.address import read_address
from onyxwick.net import fastcgi, resp

CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())


async def cache(name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    parser = resp.RespParser()
    while data := await reader.read(65_536):
        parser.buffer.append(data)
        for words in parser.messages():
            print(name, b" ".join(words[:3]).decode())
            if words[0] == b"REQ":
                body = f"{name} serves {words[2].decode()}\n".encode()
                told = f"digest={secrets.token_hex(8)},dated={time.time_ns() // 1_000_000},note=HIT"
                writer.write(resp.encode_command(words[1], b"data", told.encode(), body))
                await writer.drain()
    writer.close()


async def coordinator(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    print("coordinator:", (await reader.readline()).decode().strip())
    try:
        while True:
            writer.write(b"%d\n" % CONFIG["known"]["index"])
            await writer.drain()
            await asyncio.sleep(1)
    except ConnectionError:
        writer.close()


async def serve() -> None:
    servers = [await asyncio.start_server(coordinator, *read_address(CONFIG["coordinator"]))]
    for row in CONFIG["known"]["updates"][0]["endpoints"]["servers"]:

        async def one(r: asyncio.StreamReader, w: asyncio.StreamWriter, name: str = row["id"]) -> None:
            await cache(name, r, w)

        servers.append(await asyncio.start_server(one, *read_address(row["addr"])))
    await asyncio.gather(*(server.serve_forever() for server in servers))


async def ask(class_name: str, name: str) -> None:
    params = {
        "SCRIPT_NAME": f"/call/{class_name}",
        "HTTP_X_REQUEST_ID": secrets.token_hex(8),
        "HTTP_X_TIMEOUT_MS": "2000",
        "HTTP_X_OBJECT": name,
        "HTTP_X_NTH": "0",
        "HTTP_X_BATCH": "1",
    }
    pairs = fastcgi.encode_pairs({k.encode(): v.encode() for k, v in params.items()})
    reader, writer = await asyncio.open_connection(*read_address(CONFIG["listen"]))
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 0)
    for kind, content in (
        (fastcgi.BEGIN, begin),
        (fastcgi.PARAMS, pairs),
        (fastcgi.PARAMS, b""),
        (fastcgi.STDIN, b""),
    ):
        writer.write(fastcgi.encode_record(fastcgi.RecordType(kind), 1, content))
    data = await reader.read()
    while data:
        _, kind, _, size, pad = fastcgi.HEADER.unpack_from(data)
        if kind == fastcgi.RecordType.STDOUT:
            print(data[8 : 8 + size].decode(), end="")
        data = data[8 + size + pad :]
    writer.close()


if __name__ == "__main__":
    if sys.argv[1:2] == ["ask"] and len(sys.argv) == 4:
        asyncio.run(ask(sys.argv[2], sys.argv[3]))
    elif sys.argv[1:] == ["serve"]:
        asyncio.run(serve())
    else:
        sys.exit(__doc__)
