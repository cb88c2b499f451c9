"""Metrics are served, and every metric is documented."""

import pathlib
import re

import aiohttp

from tests import fleet
from wrenspoke import metrics

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
ROW = re.compile(r'^\| `(wrenspoke_\w+)` \|', re.MULTILINE)


def test_every_metric_is_on_the_page():
    assert set(ROW.findall(PAGE.read_text())) == set(metrics.NAMES)


async def test_entry_host_gives_its_metrics(tmp_path):
    settings_map = fleet.deployment(regions=('north',))
    async with fleet.running(tmp_path, settings_map) as running:
        async with aiohttp.ClientSession() as session:
            async with session.get(
                running.url('north-1') + '/metrics'
            ) as response:
                assert response.status == 200
                text = await response.text()
    assert 'wrenspoke_requests_in_quarantine{' in text
