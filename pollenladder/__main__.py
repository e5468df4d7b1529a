"""The daemon's entry point."""

import sys


def main() -> int:
    """Run the daemon until it is told to stop; return its exit code."""
    print("pollenladderd: not wired yet", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
