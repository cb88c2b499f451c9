"""Sample the endpoints that are evaluated for a call.

Evaluating an endpoint takes CPU time for every call. A random sample, plus
the endpoints that cache the prompt, bounds it in regions of any size.
"""

import collections.abc
import random

from wrenspoke import ids
from wrenspoke.state import registry

# Load reports are too old for the best of all endpoints to be much better than
# the best of so many. A smaller sample lengthens waits in small regions.
SAMPLE_SIZE = 16
# Of endpoints whose load is known by past answers alone, the best of two is
# nearly as good as the best of all, and hosts don't all choose the same.
PLAIN_SAMPLE_SIZE = 2


def sample(
    candidates: list[registry.EndpointEntry],
    always: collections.abc.Container[ids.EndpointId],
    rng: random.Random,
    size: int = SAMPLE_SIZE,
) -> list[registry.EndpointEntry]:
    """Return a random sample of endpoints, plus those in ``always``."""
    if len(candidates) <= size:
        return candidates
    drawn = rng.sample(candidates, size)
    names = {found.registration.endpoint for found in drawn}
    drawn.extend(
        found
        for found in candidates
        if found.registration.endpoint in always
        and found.registration.endpoint not in names
    )
    return drawn
