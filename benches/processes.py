"""CPU time and memory of running processes, from /proc."""

import os
import pathlib

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident set size of a process, in megabytes."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6
