"""Print the processor time and modules that a daemon's start takes.

    python -m benches.start [--runs N]

Runs the imports of each daemon as ``platform/run.py`` does, with what
``target/deps`` holds, or the packages of this Python before a build; with and
without byte code.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import sysconfig
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
BUILT = ROOT / 'target' / 'deps'
CODE = """
import time
before_s = time.process_time()
import json
import sys
sys.path.insert(0, 'platform')
import run
from wrenspoke import runtime
if sys.argv[1] == 'entry':
    from adapter import header_names
    from adapter import reports
    from wrenspoke import entry_node
else:
    from adapter import control
    from wrenspoke import control_node
import uvloop
took_s = time.process_time() - before_s
print(json.dumps([took_s, len(sys.modules)]))
"""


def start(daemon, cache, options=()):
    """Return the processor time in s and the modules of one start."""
    packages = BUILT if BUILT.exists() else sysconfig.get_path('purelib')
    ended = subprocess.run(
        [sys.executable, '-S', *options, '-c', CODE, daemon],
        cwd=ROOT,
        env={
            'PATH': os.environ['PATH'],
            'PYTHONPATH': f'{packages}{os.pathsep}{ROOT}',
            'PYTHONPYCACHEPREFIX': cache,
        },
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(ended.stdout)


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=10)
    runs = parser.parse_args().runs
    with tempfile.TemporaryDirectory() as cache:
        for daemon in ('control', 'entry'):
            cold_s, _modules = start(daemon, f'{cache}/none', ['-B'])
            start(daemon, cache)
            found = [start(daemon, cache) for _number in range(runs)]
            least_s, modules = min(found)
            print(
                f'{daemon}: {least_s:.3f} s of processor time (the least of'
                f' {runs}), {modules} modules; {cold_s:.3f} s without byte code'
            )


main()
