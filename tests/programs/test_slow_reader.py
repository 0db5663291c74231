"""A caller that does not read holds its own engine stream back, and nothing else."""

import asyncio

from tests.programs.common import small_fleet, wait_idle
from tests.standins.caller import wait_until
from tests.standins.raw_caller import RawCaller, chat_request

ONE = {"entry-1": "walvis-a"}
TEXT = "x" * 10_000
TOKENS = 5_000  # about 50 MB
OTHER_CHATS = 20
OTHER_TOKENS = 20
GROWTH_BOUND_BYTES = 8 * 1024 * 1024


def test_a_slow_reader_is_held_back_with_bounded_buffers(tmp_path):
    async def check() -> None:
        async with small_fleet(tmp_path, ONE) as (fleet, callers):
            engine = fleet.engines["forecast-0"]
            engine.state.token_pause_s = 0.0
            processes = (fleet.hosts["entry-1"].entry, fleet.hosts["entry-1"].router)
            before = [process.rss_bytes() for process in processes]
            raw = await RawCaller.connect(callers[0].address)
            await raw.send(chat_request(TEXT, TOKENS))

            async def is_held() -> bool:
                """Return whether the stream stood still while other chats went through."""
                seen = engine.state.tokens
                for number in range(OTHER_CHATS):
                    other = await callers[0].chat(f"chat-{number}", "other", OTHER_TOKENS)
                    assert other.is_complete_stream("other", OTHER_TOKENS)
                return seen > 0 and engine.state.tokens == seen + OTHER_CHATS * OTHER_TOKENS

            # gRPC widens its window while other streams flow, up to a bound of its own.
            await wait_until(is_held, "the engine is not held back")
            assert engine.state.in_flight == 1
            after = [process.rss_bytes() for process in processes]
            growth = [now - then for now, then in zip(after, before, strict=True)]
            assert max(growth) < GROWTH_BOUND_BYTES, growth
            _, body = await raw.read_message()
            assert body.count(b"\nid: ") + 1 == TOKENS
            assert body.endswith(b"data: [DONE]\n\n")
            await wait_idle(engine)

    asyncio.run(check())
