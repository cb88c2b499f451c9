"""The text that each row of ``benches.switched_off`` replaces exists."""

import pathlib

import pytest

from benches import switches_attribution
from benches import switches_backoffs
from benches import switches_hosts
from benches import switches_limits
from benches import switches_quarantine
from benches import switches_streams
from benches import switches_teams

ROOT = pathlib.Path(__file__).parent.parent
ROWS = [
    *switches_attribution.SWITCHES,
    *switches_backoffs.SWITCHES,
    *switches_hosts.SWITCHES,
    *switches_limits.SWITCHES,
    *switches_quarantine.SWITCHES,
    *switches_streams.SWITCHES,
    *switches_teams.SWITCHES,
]


@pytest.mark.parametrize('row', ROWS, ids=lambda row: row.name)
def test_row_finds_its_text(row):
    assert row.old in (ROOT / row.file).read_text()
