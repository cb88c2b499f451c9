"""Stages of a call: times, log fields and histograms."""

import pytest
import structlog

from tests import endpoints
from tests import nodes
from tests import test_far
from tests import test_passing
from wrenspoke import clock as clocks
from wrenspoke.coordination.serving import stage_histograms
from wrenspoke.protocol import call_stages
from wrenspoke.state import routes

Stage = call_stages.Stage
HopSide = stage_histograms.HopSide


@pytest.mark.parametrize(
    'marks, slowest, logged',
    [
        ([], (None, 0), ''),
        ([(Stage.READ, 1)], ('read', 1), ''),
        (
            [(Stage.READ, 3), (Stage.LIMITED, 403), (Stage.ENDED, 500)],
            ('limited', 400),
            'read:3,limited:400,ended:97',
        ),
        (
            [(Stage.CHOSEN, 5), (Stage.CONNECTED, 165), (Stage.ANSWERED, 170)],
            ('connected', 160),
            'chosen:5,connected:160,head_received:5',
        ),
        (
            [(Stage.CONNECTED, 30), (Stage.ANSWERED, 80)]
            + [(Stage.CONNECTED, 120), (Stage.ANSWERED, 125)],
            ('connected', 70),
            'connected:70,head_received:55',
        ),
    ],
    ids=[
        'not begun',
        'nothing took long',
        'the limit was waited for',
        'a connection was opened for a hop',
        'two attempts are summed',
    ],
)
def test_slow_stage_is_named(marks, slowest, logged):
    times = call_stages.StageTimes(0)
    for stage, now_ms in marks:
        times.mark(stage, now_ms)
    assert times.slowest() == slowest
    assert times.log_fields()['stages_ms'] == logged


def test_call_without_a_begin_counts_from_its_first_mark():
    times = call_stages.StageTimes()
    times.mark(Stage.READ, 1_000_000)
    times.mark(Stage.AUTHORIZED, 1_000_002)
    assert times.spent_ms == {Stage.AUTHORIZED: 2}


def test_histogram_counts_by_kind_hop_and_stage():
    histograms = stage_histograms.StageHistograms(clocks.Clock())
    for took_ms in (0, 1, 2, 80, 81, 9_000):
        times = call_stages.StageTimes(0)
        times.mark(Stage.CONNECTED, took_ms)
        histograms.record(routes.RouteKind.STREAM, HopSide.FORWARDING, times)
    key = (routes.RouteKind.STREAM, HopSide.FORWARDING, Stage.CONNECTED)
    assert list(histograms.counts) == [key]
    bins = histograms.counts[key]
    assert sum(bins) == 6
    by_bound = dict(zip(stage_histograms.BOUNDS_MS, bins))
    assert by_bound[1] == 2 and by_bound[2] == 1
    assert by_bound[80] == 1 and by_bound[160] == 1
    assert bins[-1] == 1


async def test_lines_on_both_sides_of_a_hop_name_their_stages(tmp_path):
    endpoint = await endpoints.ScriptedEndpoint(
        lambda sent, _number: [test_passing.answer(sent)]
    ).start()
    async with nodes.running(tmp_path) as system:
        north = system.entries[0]
        await system.start_entry('south-hall')
        await system.put(test_passing.route())
        await system.register('e', endpoint, data_centre='south-hall')
        await test_far.wait_for_pongs(system)
        with structlog.testing.capture_logs() as lines:
            got = await endpoints.send_raw(
                north.node.callers_address, test_passing.request()
            )
        sides = {
            side: one.stage_histograms.counts.get(
                (routes.RouteKind.ONCE, side, Stage.CONNECTED)
            )
            for one, side in zip(
                system.entries, (HopSide.FORWARDING, HopSide.RECEIVING)
            )
        }
    await endpoint.close()
    assert got.endswith(b'whole')
    ended = [line for line in lines if line['event'] == 'answered']
    assert len(ended) == 2
    for line in ended:
        assert line['slowest_stage'] is not None
        assert 'stages_ms' in line and 'slowest_ms' in line
    assert all(sum(bins) == 1 for bins in sides.values())


async def test_line_of_a_call_that_is_given_up_on_names_its_stages(tmp_path):
    async with nodes.running(tmp_path) as system:
        await system.put(test_passing.route())
        with structlog.testing.capture_logs() as lines:
            await endpoints.send_raw(
                system.entries[0].node.callers_address,
                test_passing.request(),
            )
    ended = [line for line in lines if line['event'] == 'gave_up']
    assert len(ended) == 1 and 'slowest_stage' in ended[0]
