"""Reading load reports: valid and faulty responses over real sockets."""

import asyncio

import pytest

from almondspindle.adapters.target.load import MAX_REPORT_BYTES, HttpLoadReportClient

GOOD = b'{"boot_id": "a", "uptime_s": 1, "in_flight": 2}'


def response(status: bytes, body: bytes, announced: int | None = None) -> bytes:
    length = len(body) if announced is None else announced
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, length, body)


CASES = [
    (response(b"200 OK", GOOD), True),
    (response(b"500 Oops", GOOD), False),
    (response(b"204 No Content", b""), False),
    (response(b"302 Found", GOOD), False),
    (response(b"200 OK", b"junk"), False),
    (response(b"200 OK", GOOD, announced=500), False),
    (response(b"200 OK", GOOD + b" " * MAX_REPORT_BYTES), False),
    (b"", False),
    (b"junk\r\n\r\n", False),
]


async def read_from(data: bytes) -> bool:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    report = await HttpLoadReportClient().read(f"127.0.0.1:{port}")
    server.close()
    return report.is_ok()


@pytest.mark.parametrize(("data", "is_ok"), CASES, ids=lambda case: str(case)[:30])
def test_load_report_responses(data, is_ok):
    assert asyncio.run(read_from(data)) is is_ok
