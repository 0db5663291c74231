"""How claims gather into batches, and how old ones are deleted."""

import asyncio

from almondspindle.controllers.claims import writer
from almondspindle.controllers.claims.janitor import ClaimsJanitor
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import RosterRead
from almondspindle.core.claims import Claim, Decision, Look
from almondspindle.core.clock import SystemClock
from almondspindle.core.roster import Host, Roster
from almondspindle.decisions import claims as claim_decisions
from almondspindle.decisions.claim_keys import MAX_RETENTION_S, MAX_SKEW_S, segment_of
from tests.decisions.test_claims import NOW, attempt, claim, uuid7
from tests.standins.claims_world import Router
from tests.standins.fake_platform import FakePlatform, MemoryStore

BATCH = 40


def same_shard_claims(count: int) -> list[Claim]:
    """Return claims of different keys in one segment."""
    at = SystemClock().wall()
    claims = []
    for number in range(count * 50):
        made = claim("n" * 24, number)
        scope = type(made.scope)(made.scope.team, made.scope.service, uuid7(number, at))
        if segment_of(scope).shard == 0:
            claims.append(Claim(type(made.attempt)(scope, b"f" * 16, "n" * 24, "h"), 1000.0))
    return claims[:count]


def test_claims_gather_while_a_write_is_in_flight():
    async def check() -> None:
        store = MemoryStore()
        router = Router(FakePlatform(store))
        router.start()
        gate = router.platform.hold("write")
        first, *others = same_shard_claims(BATCH)
        decided = [asyncio.ensure_future(router.desk.decide(first))]
        await gate.reached.wait()
        decided += [asyncio.ensure_future(router.desk.decide(other)) for other in others]
        gate.open.set()
        replies = await asyncio.gather(*decided)
        assert {reply.decision for reply in replies} == {Decision.GRANTED}
        assert store.writes == 2
        router.kill()

    asyncio.run(check())


def test_a_claim_whose_asker_left_before_its_batch_is_not_written():
    async def check() -> None:
        router = Router(FakePlatform(MemoryStore()))
        router.start()
        gate = router.platform.hold("write")
        first, left, last = same_shard_claims(3)
        decided = asyncio.ensure_future(router.desk.decide(first))
        await gate.reached.wait()
        leaving = asyncio.ensure_future(router.desk.decide(left))
        staying = asyncio.ensure_future(router.desk.decide(last))
        await asyncio.sleep(0)
        leaving.cancel()
        gate.open.set()
        await asyncio.gather(decided, staying)
        look = await router.desk.decide(Look(left.scope))
        assert look.decision is Decision.ABSENT
        router.kill()

    asyncio.run(check())


def test_a_full_part_rolls_over_and_both_parts_are_found(monkeypatch):
    async def check() -> None:
        store = MemoryStore()
        routers = [Router(FakePlatform(store)) for _ in range(2)]
        for router in routers:
            router.start()
        claims = same_shard_claims(BATCH)
        replies = await asyncio.gather(*(routers[0].desk.decide(c) for c in claims))
        assert {reply.decision for reply in replies} == {Decision.GRANTED}
        assert len(store.objects) > 1
        looks = await asyncio.gather(*(routers[1].desk.decide(Look(c.scope)) for c in claims))
        assert {look.decision for look in looks} == {Decision.SETTLED}
        for router in routers:
            router.kill()

    monkeypatch.setattr(claim_decisions, "SEAL_BYTES", 2000)
    asyncio.run(check())


def test_a_store_that_never_answers_does_not_hold_claims_back(monkeypatch):
    async def check() -> None:
        router = Router(FakePlatform(MemoryStore()))
        router.start()
        router.platform.hold("write")
        (only,) = same_shard_claims(1)
        assert (await router.desk.decide(only)).decision is Decision.UNAVAILABLE
        assert (await router.desk.decide(only)).decision is Decision.GRANTED
        router.kill()

    monkeypatch.setattr(writer, "GIVE_UP_AFTER_S", 0.1)
    asyncio.run(check())


def test_a_malformed_object_is_left_as_it_is_and_nothing_is_granted():
    async def check() -> None:
        store = MemoryStore()
        router = Router(FakePlatform(store))
        router.start()
        (only,) = same_shard_claims(1)
        name = segment_of(only.scope).object_name(0)
        store.objects[name] = (b"junk", 7)
        assert (await router.desk.decide(only)).decision is Decision.UNAVAILABLE
        assert store.objects[name] == (b"junk", 7)
        router.kill()

    asyncio.run(check())


def test_only_objects_past_every_window_are_deleted():
    async def check() -> None:
        store = MemoryStore()
        directory = DirectoryController(SystemClock(), "host-1")
        host = Host("host-1", "walvis-a", "127.0.0.1:1")
        directory.tell(RosterRead(Roster({"host-1": host})))
        running = asyncio.ensure_future(directory.run())
        bound_s = MAX_RETENTION_S + 2 * MAX_SKEW_S + 3600
        old, young = (
            segment_of(type(attempt("n").scope)("t", "s", uuid7(at=NOW - age_s))).object_name(0)
            for age_s in (bound_s + 10.0, bound_s - 3700.0)
        )
        store.objects = {old: (b"x", 1), young: (b"x", 1)}
        janitor = ClaimsJanitor(FakePlatform(store), directory, "host-1", SystemClock())
        await janitor.sweep(NOW)
        assert list(store.objects) == [young]
        running.cancel()

    asyncio.run(check())
