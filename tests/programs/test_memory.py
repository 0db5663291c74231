"""Tests that processes stay under the users' memory bound in a fleet of the size they plan for."""

import asyncio

import pytest

from tests.standins.large_fleet import resident_mb

TARGETS = 11_000
TEAMS = 600
HOSTS = 1_100
MAX_RESIDENT_MB = 64.0


@pytest.mark.parametrize("program", ["router", "entry"])
def test_a_process_that_knows_the_whole_fleet_stays_under_its_bound(program):
    assert asyncio.run(resident_mb(TARGETS, TEAMS, HOSTS))[program] < MAX_RESIDENT_MB
