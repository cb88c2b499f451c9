"""Majorities of one voter set, and of two during joint consensus."""

import pytest

from wrenspoke.state import electorates

THREE = {'a': 'A', 'b': 'B', 'c': 'C'}
OTHER = {'a': 'A', 'b': 'B', 'd': 'D'}


@pytest.mark.parametrize(
    'voters, before, at, reached',
    [
        ({}, {}, {}, 0),
        ({'a': 'A'}, {}, {'A': 4}, 4),
        (THREE, {}, {'A': 9, 'B': 5, 'C': 1}, 5),
        (THREE, {}, {'A': 9}, 0),
        ({**THREE, 'd': 'D'}, {}, {'A': 9, 'B': 8, 'D': 3}, 3),
        # Neither the leaving nor the joining voter is required.
        (OTHER, THREE, {'A': 9, 'B': 5}, 5),
        # A majority of one set does not replace one of the other set.
        (OTHER, THREE, {'A': 9, 'D': 9}, 0),
        (OTHER, THREE, {'A': 9, 'C': 7, 'D': 6}, 6),
        # A host with a new disk is a different voter in each set.
        ({**THREE, 'c': 'new'}, THREE, {'A': 9, 'new': 9}, 0),
        ({**THREE, 'c': 'new'}, THREE, {'A': 9, 'B': 2, 'new': 9}, 2),
    ],
)
def test_majority_of_each_set_has_to_agree(voters, before, at, reached):
    deciding = electorates.Electorate(voters, before)
    assert (
        deciding.majority_value(lambda _host, disk: at.get(disk, 0)) == reached
    )


def test_both_sets_are_asked_while_they_change():
    deciding = electorates.Electorate(OTHER, THREE)
    assert deciding.hosts == {'a', 'b', 'c', 'd'}
    assert deciding.has_voter('c', 'C') and deciding.has_voter('d', 'D')
    assert not deciding.has_voter('c', 'D')
