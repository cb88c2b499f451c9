"""What a daemon loads at its start, as each start costs a host's callers."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
LOADED = {
    'entry': """
from adapter import header_names
from adapter import reports
from wrenspoke import entry_node
""",
    'control': """
from adapter import control
from wrenspoke import control_node
""",
}
PRINT = """
import gc
print('collects', gc.isenabled())
print('loaded', *sys.modules)
"""
# Of the agreement among control hosts, what a host only asks or hears.
AGREEMENT = 'wrenspoke.coordination.agreement.'


def loaded(daemon):
    """Return the modules of a daemon, and whether it collected garbage."""
    code = (
        'import sys\n'
        "sys.path.insert(0, 'platform')\n"
        'import run\n' + LOADED[daemon] + PRINT
    )
    ended = subprocess.run(
        [sys.executable, '-c', code],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
    )
    assert not ended.returncode, ended.stderr
    collects, modules = ended.stdout.splitlines()
    return set(modules.split()[1:]), collects == 'collects True'


@pytest.fixture(scope='module')
def entry():
    return loaded('entry')


@pytest.mark.parametrize(
    'module',
    [
        'aiohttp.web',
        'aiohttp.web_urldispatcher',
        'crc32c',
        'pydantic',
        'wrenspoke.settings',
        'wrenspoke.state.disk',
        'wrenspoke.state.records',
        'wrenspoke.state.storage',
        'zmq.asyncio',
        'tests',
    ],
)
def test_entry_host_does_not_load(entry, module):
    assert module not in entry[0]


def test_entry_host_loads_nothing_of_the_agreement(entry):
    assert not [name for name in entry[0] if name.startswith(AGREEMENT)]


def test_control_host_loads_no_settings_of_the_other_way():
    modules, _collects = loaded('control')
    assert 'pydantic' not in modules
    assert 'wrenspoke.entry_node' not in modules


def test_no_garbage_is_looked_for_while_modules_load(entry):
    assert not entry[1]


def test_garbage_is_collected_once_a_daemon_runs():
    code = (
        'import gc\n'
        'from wrenspoke import runtime\n'
        'gc.disable()\n'
        'runtime.collect_garbage()\n'
        'class Ring:\n'
        '    def __init__(self):\n'
        '        self.ring = self\n'
        'import weakref\n'
        'found = weakref.ref(Ring())\n'
        'rings = [Ring() for _number in range(2 * '
        'runtime.GARBAGE_THRESHOLD)]\n'
        'assert gc.isenabled() and found() is None\n'
        'assert gc.get_freeze_count()\n'
    )
    subprocess.run([sys.executable, '-c', code], cwd=ROOT, check=True)
