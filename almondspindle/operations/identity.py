"""Who an operator is, by the token."""

import hashlib

from almondspindle.core.config import ConfigSet
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.language.replies import ExitCode, Problem

FIRST_OPERATOR = "first-operator"  # the name recorded while the configuration has no operator
TOKEN_HINT = "set ALMONDSPINDLE_TOKEN or --token to the token of an operator"


def identify(config: ConfigSet, token: str | None) -> Result[str, Problem]:
    """Return the name of the operator whose token this is.

    While no operator exists anybody may write, so that the first one can be created.
    """
    if not config.operators:
        return Ok(FIRST_OPERATOR)
    if not token:
        return Error(Problem(ExitCode.BAD_INPUT, "changes need an operator's token", TOKEN_HINT))
    digest = hashlib.sha256(token.encode()).hexdigest()
    for operator in config.operators.values():
        if operator.token_sha256 == digest:
            return Ok(operator.name)
    return Error(Problem(ExitCode.BAD_INPUT, "no operator has this token", TOKEN_HINT))
