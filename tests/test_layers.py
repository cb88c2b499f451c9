"""Each layer imports only from those below it."""

import ast
import pathlib

import pytest

import wrenspoke

ROOT = pathlib.Path(wrenspoke.__file__).parent
BASE = {
    'clock',
    'errors',
    'ids',
    'logs',
    'feature_flags',
    'runtime',
    'settings',
}
ALLOWED = {
    'state': {'state'},
    'transport': {'transport'},
    'protocol': {'protocol', 'transport', 'state'},
    'coordination': {'coordination', 'protocol', 'transport', 'state'},
}


def imported(path):
    """Yield the parts of wrenspoke that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [f'{node.module}.{alias.name}' for alias in node.names]
        else:
            continue
        for name in names:
            parts = name.split('.')
            if parts[0] == 'wrenspoke' and len(parts) > 1:
                yield parts[1]


@pytest.mark.parametrize('layer', sorted(ALLOWED))
def test_layer_imports_downwards(layer):
    paths = sorted((ROOT / layer).rglob('*.py'))
    assert paths
    for path in paths:
        above = set(imported(path)) - ALLOWED[layer] - BASE
        assert not above, f'{path.name} imports {above}'


def test_only_dispatch_reads_an_endpoints_address():
    """Other modules can't send to endpoints without the checks of dispatch."""
    readers = []
    for path in sorted((ROOT / 'coordination').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and node.attr == 'url':
                readers.append(path.name)
    assert set(readers) == {'dispatch.py'}


def test_only_sender_sends_request_bodies():
    """All other requests to endpoints and hosts are sent without a body."""
    senders = []
    for path in sorted((ROOT / 'coordination').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if getattr(node.func, 'attr', '') != 'send_verbatim':
                continue
            body = node.args[4]
            if not (isinstance(body, ast.Constant) and body.value is None):
                senders.append(path.name)
    assert senders == ['sending.py']
