"""What hosts know of prompts' parts, and where long prompts go."""

import pytest

from wrenspoke.coordination.serving import lanes
from wrenspoke.coordination.serving import prefixes
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import routes

OWN = dialects.PromptPart('own', 300)


def parts(*names, tokens=1_000):
    """Return shared parts of equal size, and one of the request's own."""
    shared = [dialects.PromptPart(name, tokens) for name in names]
    return (*shared, OWN)


@pytest.mark.parametrize(
    'sent, asked, found',
    [
        ([], parts('a', 'b'), None),
        ([('e1', parts('a', 'b'))], parts('a', 'b'), ('e1', 2_300)),
        ([('e1', parts('a', 'b'))], parts('a', 'c'), ('e1', 1_000)),
        ([('e1', parts('a', 'b'))], parts('c', 'b'), None),
        (
            [('e1', parts('a')), ('e2', parts('a', 'b'))],
            parts('a', 'b'),
            ('e2', 2_300),
        ),
        # Whoever is not asked is not named: it drains, or falls silent.
        ([('gone', parts('a', 'b'))], parts('a', 'b'), None),
    ],
    ids=[
        'nothing known',
        'whole prompt sent',
        'first part only',
        'first part differs',
        'the other has more',
        'not asked',
    ],
)
def test_holder_keeps_the_most(sent, asked, found):
    known = prefixes.Prefixes()
    for endpoint, its_parts in sent:
        known.note(endpoint, 10_000, its_parts)
    holder = known.holder(asked, ['e1', 'e2'])
    assert (holder and (holder.endpoint, holder.tokens)) == found


def test_oldest_parts_give_way():
    known = prefixes.Prefixes()
    for name in ('a', 'b', 'c'):
        known.note('e1', 2_700, (dialects.PromptPart(name, 1_000),))
    kept = [
        known.kept_tokens('e1', (dialects.PromptPart(name, 1_000),), False)
        for name in ('a', 'b', 'c')
    ]
    assert kept == [0, 1_000, 1_000]


def stream(pause_target_ms):
    """Return a route of streams with a bound on their pauses."""
    return routes.Route(
        'r',
        'h',
        '/',
        routes.RouteKind.STREAM,
        (routes.Target('s'),),
        1_000,
        500,
        pause_target_ms=pause_target_ms,
    )


@pytest.mark.parametrize(
    'count, event_tokens, pause_target_ms, readers',
    [
        (0, 5, 400, 0),
        (1, 5, 400, 0),
        (2, 5, 400, 1),
        (3, 5, 400, 1),
        (36, 5, 400, 12),
        # An event is there in time also beside a long prompt.
        (36, 6, 600, 0),
        (36, 5, None, 0),
    ],
)
def test_part_of_the_engines_reads_long_prompts(
    count, event_tokens, pause_target_ms, readers
):
    names = [f'e{number}' for number in range(count)]
    batch = routes.Batch(8, 9_000, event_tokens=event_tokens)
    route = stream(pause_target_ms)
    found = lanes.readers(names, route, batch)
    assert len(found) == readers and found <= set(names)
    assert found == lanes.readers(names[::-1], route, batch)


@pytest.mark.parametrize(
    'usual, kept', [(False, 0), (True, 1_600)], ids=['another', 'usual']
)
def test_usual_engine_is_taken_to_keep_the_shared_parts(usual, kept):
    known = prefixes.Prefixes()
    assert known.kept_tokens('e1', parts('a', 'b'), usual) == kept


@pytest.mark.parametrize(
    'tokens_in, pause_target_ms, is_reader, better',
    [
        (20_000, 400, True, True),
        (20_000, 400, False, False),
        (20_000, None, False, False),
        (500, 400, True, False),
        (500, 400, False, True),
        (500, None, True, True),
    ],
)
def test_lane_of_a_call(tokens_in, pause_target_ms, is_reader, better):
    route = stream(pause_target_ms)
    call = dialects.Call(
        'q', 'GET', 'h', '/', [], 0, 1_000, tokens_in=tokens_in
    )
    assert (lanes.penalty_ms(route, call, is_reader) == 0) is better
