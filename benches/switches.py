"""The type of the mutations that ``benches.switched_off`` runs."""

import dataclasses

STATE = 'wrenspoke/state/'
DECISIONS = 'wrenspoke/coordination/'


@dataclasses.dataclass(frozen=True)
class Switch:
    """A text replacement in one file and the test that must detect it.

    ``file`` is a path from the root, ``test`` the arguments of pytest.
    """

    name: str
    file: str
    old: str
    new: str
    test: str
