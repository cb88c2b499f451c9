"""What a row of ``benches.switched_off`` says."""

import dataclasses

STATE = 'wrenspoke/state/'
DECISIONS = 'wrenspoke/coordination/'


@dataclasses.dataclass(frozen=True)
class Switch:
    """Say what to replace in which file, and which test must fail."""

    name: str
    file: str
    old: str
    new: str
    test: str
