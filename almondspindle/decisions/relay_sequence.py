"""Check that the parts of a relayed response belong to one request and arrive in order."""

from dataclasses import dataclass

from almondspindle.core.identifiers import RequestId


@dataclass(slots=True)
class PartChecker:
    """Check the parts of one relayed response as they arrive."""

    request_id: RequestId
    next_sequence: int = 0

    def check_request_id(self, request_id: RequestId) -> str | None:
        """Return an error message if the part belongs to another request, else None."""
        if request_id != self.request_id:
            return f"response part belongs to request {request_id}, expected {self.request_id}"
        return None

    def check_sequence(self, sequence: int) -> str | None:
        """Return an error message if the part numbered `sequence` is out of order, else None."""
        if sequence != self.next_sequence:
            return f"received response part {sequence}, expected part {self.next_sequence}"
        self.next_sequence += 1
        return None
