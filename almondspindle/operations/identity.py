"""Identify operators by their tokens."""

import hashlib

from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.replies import ExitCode, Problem

FIRST_OPERATOR = "first-operator"  # recorded in the history while no operator is configured
TOKEN_HINT = "set ALMONDSPINDLE_TOKEN or --token to the token of an operator"


def identify_operator(config: ConfigSet, token: str | None) -> Result[str, Problem]:
    """Return the name of the operator that `token` belongs to.

    While no operator is configured, any token or none is accepted, so that the first operator can
    be created.
    """
    if not config.operators:
        return Ok(FIRST_OPERATOR)
    if not token:
        return Error(Problem(ExitCode.BAD_INPUT, "changes require an operator's token", TOKEN_HINT))
    digest = hashlib.sha256(token.encode()).hexdigest()
    for operator in config.operators.values():
        if operator.token_sha256 == digest:
            return Ok(operator.name)
    return Error(Problem(ExitCode.BAD_INPUT, "the token belongs to no operator", TOKEN_HINT))
