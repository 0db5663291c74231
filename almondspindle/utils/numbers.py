"""Read numbers that other programs wrote."""

MAX_DIGITS = 18  # such a number fits a signed 64-bit integer, and a float holds its size


def parse_digits(text: str) -> int | None:
    """Return the number that the ASCII digits of `text` state.

    Return None for any other text, and for numbers of more than `MAX_DIGITS` digits: Python raises
    an error for very long ones, and for those too large to be converted to a float.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
