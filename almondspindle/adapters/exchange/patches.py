"""Patches between two versions of a record's bytes.

The bytes are split before each opening brace of the JSON text. A route of a manifest is then one
piece, and a patch names the pieces that both versions share instead of repeating them. Joining the
pieces restores the bytes exactly, so neither side parses them.
"""

from collections.abc import Iterable

SEPARATOR = b"{"
MAX_PATCHED_BYTES = 32 * 1024 * 1024  # an object of the store is much smaller

# New bytes, or the index of the first piece of the base and the number of pieces to copy.
Part = bytes | tuple[int, int]


def make_patch(base: bytes, new: bytes) -> list[Part]:
    """Return the parts from which `apply_patch` makes `new` out of `base`."""
    base_pieces = base.split(SEPARATOR)
    index_of = {piece: index for index, piece in enumerate(base_pieces)}
    parts: list[Part] = []
    added: list[bytes] = []  # pieces after the last part that the base lacks
    for piece in new.split(SEPARATOR):
        last = parts[-1] if parts and not added else None
        if isinstance(last, tuple) and _piece_at(base_pieces, sum(last)) == piece:
            parts[-1] = (last[0], last[1] + 1)
        elif piece in index_of:
            _flush(added, parts)
            parts.append((index_of[piece], 1))
        else:
            added.append(piece)
    _flush(added, parts)
    return parts


def apply_patch(base: bytes, parts: Iterable[Part]) -> bytes:
    """Return the new bytes.

    Raise `ValueError` if a part refers to pieces that `base` lacks, or if the new bytes are more
    than `MAX_PATCHED_BYTES`: parts may refer to the same pieces again and again.
    """
    base_pieces = base.split(SEPARATOR)
    pieces: list[bytes] = []
    size = 0
    for part in parts:
        if isinstance(part, bytes):
            pieces.append(part)
            size = _add_size(size, [part])
            continue
        start, count = part
        if start < 0 or count < 1 or start + count > len(base_pieces):
            raise ValueError(f"the patch refers to pieces {start} to {start + count} of the base")
        copied = base_pieces[start : start + count]
        size = _add_size(size, copied)
        pieces.extend(copied)
    return SEPARATOR.join(pieces)


def _flush(added: list[bytes], parts: list[Part]) -> None:
    if added:
        parts.append(SEPARATOR.join(added))
        added.clear()


def _add_size(size: int, pieces: list[bytes]) -> int:
    size += sum(map(len, pieces)) + len(pieces)
    if size > MAX_PATCHED_BYTES:
        raise ValueError(f"the patch makes more than {MAX_PATCHED_BYTES} bytes")
    return size


def _piece_at(pieces: list[bytes], index: int) -> bytes | None:
    return pieces[index] if index < len(pieces) else None
