"""The index of prompt prefixes cached by engines."""

import pytest

from wrenspoke.coordination.serving import prefix_index
from wrenspoke.protocol import dialect as dialects

OWN = dialects.PromptPart('own', 300)


def parts(*names, tokens=1_000):
    """Return shared parts of equal size, plus one private part."""
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
        # Engines outside the candidates, e.g. draining ones, don't count.
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
    known = prefix_index.PrefixIndex()
    for endpoint, its_parts in sent:
        known.record_prompt(endpoint, 10_000, its_parts)
    holder = known.best_cache_holder(asked, ['e1', 'e2'])
    assert (holder and (holder.endpoint, holder.tokens)) == found


def test_least_recently_used_parts_are_evicted():
    known = prefix_index.PrefixIndex()
    for name in ('a', 'b', 'c'):
        known.record_prompt('e1', 2_700, (dialects.PromptPart(name, 1_000),))
    kept = [
        known.cached_tokens('e1', (dialects.PromptPart(name, 1_000),), False)
        for name in ('a', 'b', 'c')
    ]
    assert kept == [0, 1_000, 1_000]


@pytest.mark.parametrize(
    'usual, kept', [(False, 0), (True, 1_600)], ids=['another', 'usual']
)
def test_usual_engine_is_taken_to_keep_the_shared_parts(usual, kept):
    known = prefix_index.PrefixIndex()
    assert known.cached_tokens('e1', parts('a', 'b'), usual) == kept


def test_generated_tokens_evict_cached_prefixes():
    """Generated tokens take cache space, though no prompt shares them."""
    known = prefix_index.PrefixIndex()
    known.record_prompt('e1', 5_000, parts('a'))
    for _number in range(3):
        known.record_prompt('e1', 5_000, (), own_tokens=1_200)
    assert known.cached_tokens('e1', parts('a'), False) == 1_300
    known.record_prompt('e1', 5_000, (), own_tokens=1_200)
    assert known.cached_tokens('e1', parts('a'), False) == 0
