"""Print the processor time of a log line as a daemon writes it.

    python -m benches.log_lines
"""

import os
import time

import structlog

from wrenspoke import logs
from wrenspoke import logstream

LINES = 20_000


def main():
    stream = logstream.BoundedStream(
        os.open(os.devnull, os.O_WRONLY), logs.is_urgent
    )
    logs.configure('info', '10.3.64.18:8562', stream)
    logger = structlog.get_logger('bench')
    begun = time.process_time()
    for number in range(LINES):
        logger.info(
            'answered',
            request='3f0e4c5d-11aa-4bd0-9c30-000000000000',
            status=200,
            endpoint='i-616f05eae1',
            first_ms=number,
            whole_ms=number + 10,
            cause=None,
            resumable=True,
            load='queued=1 running=2',
        )
    cost = (time.process_time() - begun) * 1e6 / LINES
    print(f'a log line of 8 fields: {cost:.1f} us')


main()
