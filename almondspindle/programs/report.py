"""almondspindle-report: the service-level burn report."""

import sys


def main() -> None:
    """Run the program."""
    sys.exit("almondspindle-report: the routers do not keep histograms yet")


if __name__ == "__main__":
    main()
