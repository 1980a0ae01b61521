"""A small HTTP/1.1 server and client, enough for the platform's pages."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    """The first line and the headers, names in lower case; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


async def read_body(reader, headers):
    length = int(headers.get("content-length", 0))
    if length:
        return await reader.readexactly(length)
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return b""
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return b"".join(parts)
        parts.append(part)


async def serve(address, handle):
    """`handle` gets a Request and gives (status, object), or None: no answer."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                (method, target, *_), headers = head
                request = Request(method, target, headers, await read_body(reader, headers))
                answer = await handle(request)
                if answer is None:
                    break
                status, content = answer
                body = json.dumps(content, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, host, int(port), limit=1 << 22)


async def call(address, method, target, content=None, headers=None, timeout=2.0):
    """One request on a connection of its own: (status, headers, object).

    Status 0: no answer.
    """
    body = b"" if content is None else json.dumps(content, separators=(",", ":")).encode()
    lines = {"Host": address, "Content-Type": "application/json", "Connection": "close"}
    lines.update(headers or {})
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            writer.write(head.encode() + body)
            answer = await read_head(reader)
            if answer is None:
                return 0, {}, {}
            (_, status, *_), got = answer
            text = await read_body(reader, got)
            try:
                return int(status), got, json.loads(text) if text else {}
            except ValueError:
                return int(status), got, {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, {}
    finally:
        if writer is not None:
            writer.close()


async def call_control(addresses, first, method, target, content=None, timeout=1.0):
    """As callers of `control`: follows a 307 twice, then goes to the next one."""
    for turn in range(len(addresses)):
        address, path = addresses[(first + turn) % len(addresses)], target
        for _ in range(3):
            status, headers, answer = await call(address, method, path, content, timeout=timeout)
            location = headers.get("location", "")
            if status != 307 or not location.startswith("http://"):
                break
            address, _, path = location[len("http://") :].partition("/")
            path = "/" + path
        if status and status != 307 and status < 500 and status not in (408, 429):
            return status, answer
    return 0, {}
