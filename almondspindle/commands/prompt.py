"""An interactive prompt with history."""

import asyncio
import readline
from pathlib import Path

from almondspindle.commands.base import FleetCommand
from almondspindle.conf.operator import OperatorCfg
from almondspindle.language.replies import ExitCode
from almondspindle.language.run import run_line
from almondspindle.operations.connect import connect

PROMPT = "almondspindle> "
HISTORY_FILE = Path("~/.almondspindle_history")
MAX_HISTORY_LINES = 1000
EXIT_WORDS = frozenset({"exit", "quit"})


class PromptCommand(FleetCommand):
    """Read statements line by line and run each of them."""

    name = "prompt"
    description = "Run statements line by line; `exit` or `quit` ends the prompt."

    def handle(self) -> int:
        """Run the prompt and return the exit code of its last statement."""
        cfg = self.load_settings()
        if cfg is None:
            return ExitCode.BAD_INPUT
        path = HISTORY_FILE.expanduser()
        _load_history(path)
        try:
            return asyncio.run(self._run_prompt(cfg))
        finally:
            _save_history(path)

    async def _run_prompt(self, cfg: OperatorCfg) -> int:
        code: int = ExitCode.DONE
        async with connect(cfg) as fleet:
            while True:
                line = await asyncio.to_thread(_read_line)
                if line is None or line in EXIT_WORDS:
                    return code
                if line:
                    code = self.print_reply(await run_line(line, fleet), cfg)


def _read_line() -> str | None:
    try:
        return input(PROMPT).strip()
    except (EOFError, KeyboardInterrupt):
        return None


def _load_history(path: Path) -> None:
    # The prompt must work without a readable history file.
    try:
        readline.read_history_file(path)
    except OSError:
        return


def _save_history(path: Path) -> None:
    readline.set_history_length(MAX_HISTORY_LINES)
    try:
        readline.write_history_file(path)
    except OSError:
        return
