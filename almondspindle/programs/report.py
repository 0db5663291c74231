"""almondspindle-report: print how fast services consume their error budgets."""

import asyncio
import sys

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.conf.base import load_settings
from almondspindle.conf.report import ReportCfg
from almondspindle.core.exit_codes import EXIT_OK
from almondspindle.report.formatting import as_json, as_text
from almondspindle.report.gather import gather_report

EXIT_UNAVAILABLE = 3
FORMATTERS = {"text": as_text, "json": as_json}


async def report(cfg: ReportCfg) -> int:
    """Gather and print the report; return the exit status."""
    channels = Channels()
    try:
        gathered = await gather_report(HttpPlatform(cfg.platform), channels)
    finally:
        await channels.close()
    if gathered.is_error():
        print(f"almondspindle-report: {gathered.error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    print(FORMATTERS[cfg.output](gathered.ok))
    return EXIT_OK


def main() -> None:
    """Run the report with the settings of this process and exit with its status."""
    sys.exit(asyncio.run(report(load_settings(ReportCfg))))


if __name__ == "__main__":
    main()
