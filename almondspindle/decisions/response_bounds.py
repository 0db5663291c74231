"""Bounds on the bytes of targets' responses that a host reads and keeps.

The load that this answers: targets in trouble that send bytes without end, in a head or in a body,
until the connection is closed. One such response must not take the memory of its host, nor must
many of them together.
"""

from dataclasses import dataclass

# Bytes that bring no part of a body: heads, interim responses, chunk extensions and trailers.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_HEADERS = 512  # of one head, or of the trailers of one body
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # kept of one response until it is complete
MAX_REJECTION_BYTES = 64 * 1024  # read of the body of a response that is not forwarded
MAX_KEPT_BYTES = 32 * 1024 * 1024  # kept of all responses of a host
SMALL_RESPONSE_BYTES = 64 * 1024  # up to this size a response goes on whatever the others keep


@dataclass(slots=True)
class KeptBytes:
    """The number of bytes that a host keeps of all incomplete responses."""

    total: int = 0

    def find_fault(self, size: int) -> str | None:
        """Return why a response of which `size` bytes are kept must end, or None.

        `total` includes those bytes.
        """
        if size > MAX_RESPONSE_BYTES:
            return f"response exceeds the limit of {MAX_RESPONSE_BYTES} bytes"
        if self.total > MAX_KEPT_BYTES and size > SMALL_RESPONSE_BYTES:
            return f"incomplete responses exceed the limit of {MAX_KEPT_BYTES} bytes in all"
        return None
