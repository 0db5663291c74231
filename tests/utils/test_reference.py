"""The pages made from the code's catalogues are up to date."""

from pathlib import Path

import pytest

from almondspindle.utils.reference import PAGES

DOCS = Path(__file__).parents[2] / "docs" / "ref"


@pytest.mark.parametrize("name", PAGES)
def test_a_page_equals_the_catalogue(name):
    assert (DOCS / name).read_text() == PAGES[name](), "run `make docs`"
