"""Read numbers that other programs wrote.

Each text is bounded before it is looked at, so that its length doesn't decide how long that takes.
"""

import re

MAX_DIGITS = 18  # such a number fits a signed 64-bit integer, and a float holds its size
MAX_DECIMAL_CHARS = 1000
# Possessive, so that a text that doesn't match is read once.
_DECIMAL = re.compile(r"[+-]?+(?:\d++(?:\.\d*+)?+|\.\d++)", re.ASCII)


def parse_digits(text: str) -> int | None:
    """Return the number that the ASCII digits of `text` state.

    Return None for any other text, and for numbers of more than `MAX_DIGITS` digits: Python raises
    an error for very long ones, and for those too large to be converted to a float.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def parse_decimal(text: str) -> float | None:
    """Return the decimal number, without an exponent, that `text` states.

    Return None for any other text, and for one of more than `MAX_DECIMAL_CHARS` characters.
    """
    if len(text) > MAX_DECIMAL_CHARS or _DECIMAL.fullmatch(text) is None:
        return None
    return float(text)
