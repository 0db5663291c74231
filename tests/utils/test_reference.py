"""The generated reference pages are up to date."""

from pathlib import Path

import pytest

from almondspindle.utils.reference import PAGES

DOCS = Path(__file__).parents[2] / "docs" / "ref"


@pytest.mark.parametrize("name", PAGES)
def test_a_page_matches_the_code(name):
    assert (DOCS / name).read_text() == PAGES[name](), "run `make docs`"
