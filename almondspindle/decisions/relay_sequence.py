"""Whether the parts of a relayed answer belong to one request and come in order."""

from dataclasses import dataclass

from almondspindle.core.identifiers import RequestId


@dataclass(slots=True)
class PartChecker:
    """Follow the parts of one relayed answer and tell what is wrong with them, if anything."""

    request_id: RequestId
    next_sequence: int = 0

    def check_request_id(self, request_id: RequestId) -> str | None:
        """Return what is wrong with a part that names `request_id`, or None."""
        if request_id != self.request_id:
            return f"the part belongs to request {request_id}"
        return None

    def check_sequence(self, sequence: int) -> str | None:
        """Return what is wrong with the part numbered `sequence`, or None."""
        if sequence != self.next_sequence:
            return f"part {sequence} came in place of part {self.next_sequence}"
        self.next_sequence += 1
        return None
