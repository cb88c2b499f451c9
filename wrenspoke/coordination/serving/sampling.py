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


def sample(
    candidates: list[registry.EndpointEntry],
    always: collections.abc.Container[ids.EndpointId],
    rng: random.Random,
) -> list[registry.EndpointEntry]:
    """Return a random sample of endpoints, plus those in ``always``."""
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    drawn = rng.sample(candidates, SAMPLE_SIZE)
    names = {found.registration.endpoint for found in drawn}
    drawn.extend(
        found
        for found in candidates
        if found.registration.endpoint in always
        and found.registration.endpoint not in names
    )
    return drawn
