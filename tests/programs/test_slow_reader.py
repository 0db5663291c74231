"""Tests that back-pressure of a caller that does not read affects only its own stream."""

import asyncio

from tests.programs.common import running_fleet, wait_idle
from tests.standins.caller import wait_until
from tests.standins.raw_caller import RawCaller, chat_request

ONE_HOST = {"entry-1": "walvis-a"}
TEXT = "x" * 10_000
TOKENS = 5_000  # about 50 MB
OTHER_CHATS = 20
OTHER_TOKENS = 20
MAX_GROWTH_BYTES = 8 * 1024 * 1024


def test_a_slow_reader_pauses_its_engine_stream_with_bounded_buffers(tmp_path):
    async def check() -> None:
        async with running_fleet(tmp_path, ONE_HOST) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            engine.state.token_pause_s = 0.0
            processes = (fleet.hosts["entry-1"].entry, fleet.hosts["entry-1"].router)
            before = [process.rss_bytes() for process in processes]
            raw = await RawCaller.connect(callers[0].address)
            await raw.send(chat_request(TEXT, TOKENS))

            async def is_paused() -> bool:
                """Return whether the stream sent nothing while other chats were served."""
                tokens_before = engine.state.tokens
                for number in range(OTHER_CHATS):
                    other = await callers[0].chat(f"chat-{number}", "other", OTHER_TOKENS)
                    assert other.is_complete_stream("other", OTHER_TOKENS)
                return (
                    tokens_before > 0
                    and engine.state.tokens == tokens_before + OTHER_CHATS * OTHER_TOKENS
                )

            # gRPC enlarges its flow-control window while other streams flow, up to a limit.
            await wait_until(is_paused, "the stream of the engine is not paused")
            assert engine.state.in_flight == 1
            after = [process.rss_bytes() for process in processes]
            growth = [now - then for now, then in zip(after, before, strict=True)]
            assert max(growth) < MAX_GROWTH_BYTES, growth
            _, body = await raw.read_message()
            assert body.count(b"\nid: ") + 1 == TOKENS
            assert body.endswith(b"data: [DONE]\n\n")
            await wait_idle(engine)

    asyncio.run(check())
