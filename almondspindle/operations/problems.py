"""Convert errors of configuration changes to replies with exit codes."""

from almondspindle.core.changes import ChangeError, ChangeErrorCode
from almondspindle.language.replies import ExitCode, Problem

EXIT_CODES: dict[ChangeErrorCode, ExitCode] = {
    ChangeErrorCode.UNKNOWN_OBJECT: ExitCode.BAD_INPUT,
    ChangeErrorCode.EXISTS: ExitCode.CONFLICT,
    ChangeErrorCode.UNKNOWN_FIELD: ExitCode.BAD_INPUT,
    ChangeErrorCode.INVALID: ExitCode.BAD_INPUT,
    ChangeErrorCode.BROKEN_REFERENCE: ExitCode.BAD_INPUT,
    ChangeErrorCode.NOTHING_TO_CHANGE: ExitCode.DONE,
    ChangeErrorCode.VERSION_MISMATCH: ExitCode.CONFLICT,
    ChangeErrorCode.TOO_MANY_CONFLICTS: ExitCode.CONFLICT,
    ChangeErrorCode.TOO_LARGE: ExitCode.BAD_INPUT,
    ChangeErrorCode.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ChangeErrorCode.OUTCOME_UNKNOWN: ExitCode.UNKNOWN,
    ChangeErrorCode.STORE_BEHIND: ExitCode.CONFLICT,
    ChangeErrorCode.STORED_INVALID: ExitCode.FAILED,
}


def to_problem(error: ChangeError) -> Problem:
    """Return the reply for `error`, with its exit code."""
    return Problem(EXIT_CODES[error.code], error.message, error.hint)
