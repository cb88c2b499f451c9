"""Command line of the daemons."""

import argparse
import asyncio
import collections.abc
import pathlib
import sys

import structlog

from wrenspoke import errors
from wrenspoke import logs
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

Serve = collections.abc.Callable[
    [pathlib.Path, str], collections.abc.Coroutine
]


def run_daemon(description: str, serve: Serve) -> None:
    """Parse the command line, configure logging and run ``serve``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--settings', required=True, type=pathlib.Path)
    parser.add_argument('--host', required=True, help='name in the file')
    parser.add_argument(
        '--log-level', default='info', choices=sorted(logs.LEVELS)
    )
    parsed = parser.parse_args()
    logs.configure(parsed.log_level, parsed.host)
    try:
        runtime.run(serve(parsed.settings, parsed.host))
    except errors.WrenspokeError as error:
        logger.error('not_started', reason=str(error))
        sys.exit(str(error))
    except asyncio.CancelledError:
        pass
