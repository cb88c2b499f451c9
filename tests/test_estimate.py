"""Estimates of a call's latency, and of what it costs the streams there."""

import pytest

from tests import test_backlog
from tests import test_engine_loads
from wrenspoke.coordination.serving import estimate
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import loads
from wrenspoke.state import routes

BATCH = routes.Batch(slots=64, cache_tokens=10**6, event_tokens=9)


class FakeLoads:
    """Returns one load report for every engine."""

    def __init__(self, report):
        self._report = report

    def load(self, _endpoint):
        return self._report


@pytest.mark.parametrize(
    'running, own, delayed',
    [(None, 2, 2), (0, 2, 2), (30, 2, 30)],
    ids=['no report', 'report from before its streams', 'streams of others'],
)
def test_pause_counts_the_streams_of_all_hosts(running, own, delayed):
    """A peak at an engine to which each host has sent few of its streams."""
    report = None
    if running is not None:
        report = loads.EngineLoad('e0', 0, running, 0, 10**6)
    estimator = estimate.Estimator(FakeLoads(report), test_backlog.FakeClock())
    for _stream in range(own):
        estimator.pace.add_stream('e0', BATCH.event_tokens)
    found = estimator.estimate(
        test_engine_loads.registered(0),
        routes.RoutedService('chat', '/', 10, batch=BATCH),
        dialects.Call('r', 'POST', '/', '/', [], 0, 0),
        own,
        False,
    )
    assert found.delayed_streams == delayed
