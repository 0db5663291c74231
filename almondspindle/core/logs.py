"""Log numbered events as eliot messages."""

import sys

from eliot import FileDestination, add_destinations, log_message

from almondspindle.core.events import Event
from almondspindle.core.log_writer import BoundedLogWriter


def log_to_stderr(program: str, host: str) -> None:
    """Write log messages as JSON lines to standard error, with the fields `program` and `host`."""
    add_destinations(FileDestination(file=sys.stderr))
    add_global_fields(program=program, host=host)


def log_to_stdout(writer: BoundedLogWriter, host: str) -> None:
    """Write log messages as JSON lines to `writer`, with the field `host`."""
    add_destinations(writer.write)
    add_global_fields(host=host)


def add_global_fields(**fields: str) -> None:
    """Add `fields` to every log message of this process."""
    from eliot import add_global_fields as add

    add(**fields)


def emit(event: Event, **fields: object) -> None:
    """Log `event` with `fields`."""
    log_message(message_type=f"almondspindle:{event.number}", event=event.name, **fields)
