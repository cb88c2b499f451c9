"""The adapter derives settings from what the platform tells of a host."""

import sys

import msgspec
import pytest

from tests import test_adapter
from wrenspoke import node as nodes

sys.path.append(str(test_adapter.FOLDER))

from adapter import node_settings  # noqa: E402

HOST = {
    'cluster': 'c',
    'ip': '127.0.0.1',
    'region': 'north',
    'data_centre': 'north-hall',
    'regions': {'north-hall': 'north'},
    'link_port': 7000,
    'seeds': ['127.0.0.1:8000'],
    'callers_address': '127.0.0.1:8001',
    'passing_port': 7001,
}


def read(tmp_path, **fields):
    path = tmp_path / 'node.json'
    path.write_bytes(msgspec.json.encode({**HOST, **fields}))
    return node_settings.read(path)


@pytest.mark.parametrize(
    'contracts, shared, slow',
    [
        ([], False, False),
        (['engine'], False, False),
        (['pool'], False, False),
        (['engine', 'pool'], True, False),
        (['engine', 'pool', 'pressure', 'unknown'], True, True),
    ],
)
def test_contracts_enable_features(tmp_path, contracts, shared, slow):
    node = read(tmp_path, platform={'contracts': contracts})
    assert node.admission.enabled is shared
    assert node.balancing.enabled is shared
    assert node.buffering.enabled is slow


def test_limits_become_resources(tmp_path):
    limits = {'memoryMb': 160, 'linkMbps': 3.75, 'cpuShare': 0.4, 'cores': 2}
    node = read(tmp_path, platform={'limits': limits})
    assert node.resources.memory_bytes == 160_000_000
    assert node.resources.link_bits_per_s == 3_750_000
    assert node.resources.cores == pytest.approx(0.8)


@pytest.mark.parametrize(
    'fields',
    [{}, {'platform': {}}, {'platform': {'contracts': None, 'limits': None}}],
)
def test_file_without_platform_has_defaults(tmp_path, fields):
    node = read(tmp_path, **fields)
    assert not node.admission.enabled
    assert node.resources == nodes.HostResources()


def test_own_section_prevails(tmp_path):
    node = read(
        tmp_path,
        admission={'enabled': False},
        platform={'contracts': ['engine', 'pool']},
    )
    assert not node.admission.enabled


@pytest.mark.parametrize(
    'fields, named',
    [
        ({'platform': {'contracts': 5}}, 'platform.contracts'),
        ({'platform': {'limits': {'memoryMb': 'a'}}}, 'limits.memoryMb'),
        ({'buffering': {'ceiling_bytes': 0}}, 'buffering.ceiling_bytes'),
        ({'unknown': 1}, 'unknown'),
    ],
)
def test_invalid_field_is_named(tmp_path, fields, named):
    with pytest.raises(nodes.NodeSettingsError, match=named):
        read(tmp_path, **fields)
