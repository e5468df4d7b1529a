"""Entry point of the daemon: `pollenladderd --settings FILE`."""

import argparse
import logging
import sys

from pollenladder.conf import checks
from pollenladder.conf import exceptions
from pollenladder.conf import loader
from pollenladder.conf import loops

EXIT_BAD_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it is stopped.

    Args:
        arguments: Command-line arguments; those of the process by default.

    Returns:
        The exit code.
    """
    loops.pin_loop()
    parser = argparse.ArgumentParser(prog="pollenladderd")
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args(arguments)
    try:
        settings = loader.load(options.settings)
    except exceptions.ConfError as error:
        print(f"pollenladderd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    findings = checks.run(checks.CheckContext(settings, loops.describe_loop()))
    for finding in findings:
        print(f"pollenladderd: {finding}", file=sys.stderr)
    if checks.has_errors(findings):
        return EXIT_BAD_SETTINGS
    # Imported here because these modules may use gevent's loop, which must not
    # happen before `loops.pin_loop`.
    from pollenladder.core import daemon
    from pollenladder.core import logs

    logs.configure_logging(
        settings.log.format, settings.log.level, settings.daemon_id
    )
    code = daemon.Daemon(settings).run()
    logging.shutdown()
    return code


if __name__ == "__main__":
    sys.exit(main())
