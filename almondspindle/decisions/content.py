"""Recognise a request that comes again under another id."""

import hashlib

from almondspindle.core.calls import Call

DIGEST_BYTES = 8
# The same on all hosts and after a restart. Digests can't be inverted, but a guess can be checked.
PERSONALISATION = b"content-id"
PREFIX = "req:"  # ids of prompt parts have no colon


def content_id(call: Call) -> str:
    """Return an id of what `call` asks for: its service, method, path, prompt parts and body.

    Calls that differ only in their id, their caller or their credentials have the same id.
    """
    parts = call.prompt.parts if call.prompt else ()
    fields = (call.service or "", call.method, call.path, *(part.part_id for part in parts))
    head = "\0".join(fields).encode()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=PERSONALISATION)
    digest.update(len(head).to_bytes(4))
    digest.update(head)
    digest.update(call.body)
    return f"{PREFIX}{digest.hexdigest()}"


def is_content_id(part: str) -> bool:
    """Return whether `part` is the id of a request's whole content, not of a prompt part."""
    return part.startswith(PREFIX)
