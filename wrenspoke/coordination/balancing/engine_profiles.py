"""Learn the speed of engines, and share it between a region's hosts.

Each host reports what it observes of an engine to the host that collects the
engine's sent calls. Collectors learn from all hosts' observations and
broadcast the profiles: changed ones first, the others in turn, at a bounded
rate. Both are carried by the messages for sent calls.
"""

import collections.abc
import dataclasses
import math

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.balancing import speed_model
from wrenspoke import ids
from wrenspoke.protocol import capacity
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# Initial speed, on the slow side, so that the first calls are spread.
INITIAL_TOKEN_MS = 0.05
INITIAL_FIRST_MS = 30.0
INITIAL_EVENT_MS = 50.0
INITIAL_STREAM_MS = 1.0
TYPICAL_TOKENS = 1_000.0
TYPICAL_STREAMS = 10.0
# Some prompts waited for others that this host did not know of; gaps between
# events include what is computed beside them.
PROMPT_LEVEL = 0.35
# A prompt with more tokens ahead of it, as a share of its own, tells how long
# others take.
MAX_QUEUED_SHARE = 0.1
EVENT_LEVEL = 0.5
# Profiles that the collectors of a region broadcast in a second.
PROFILES_PER_S = 10
MIN_TOGETHER = 10
# An engine's profile is broadcast again at once after such a change of its
# logarithm, but not more often than at this interval.
MIN_CHANGE = 0.1
MIN_INTERVAL_MS = 400
# Unchanged profiles are broadcast again for hosts that have just started.
REFRESH_MS = 1_500
# A log line tells of an engine whose speed changes by so much.
LOGGED_CHANGE = math.log(1.5)
# Engines of one host with observations that wait to be reported.
OBSERVED_LIMIT = 1_000
MS_PER_S = 1_000

Lookup = collections.abc.Callable[
    [ids.EndpointId], registry.Registration | None
]
Listener = collections.abc.Callable[
    [ids.ServiceId, capacity.EngineProfile, float], None
]


@dataclasses.dataclass(slots=True)
class _Observed:
    """Sums of what this host observed of an engine since its last report."""

    born_ms: int
    since_ms: int
    prompts: int = 0
    tokens: float = 0.0
    first_ms: float = 0.0
    gaps: int = 0
    streams: int = 0
    gaps_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Held:
    """A profile, with what was last broadcast and logged of it."""

    profile: capacity.EngineProfile
    broadcast: capacity.EngineProfile | None = None
    broadcast_ms: int = 0
    logged: capacity.EngineProfile | None = None


@dataclasses.dataclass(slots=True)
class _ServiceModels:
    """Models of one service's engines, at a collector."""

    prompts: speed_model.SpeedModel
    events: speed_model.SpeedModel


class EngineProfiles:
    """Profiles of the region's engines."""

    def __init__(self, lookup: Lookup, clock: clocks.Clock):
        """Create it; ``lookup`` returns the registration of an endpoint."""
        self._lookup = lookup
        self._clock = clock
        self._observed: dict[ids.EndpointId, _Observed] = {}
        self._held: dict[ids.EndpointId, _Held] = {}
        # Engines whose observations this host has collected.
        self._collected: dict[ids.EndpointId, int] = {}
        self._models: dict[ids.ServiceId, _ServiceModels] = {}
        self._averages: dict[
            tuple[ids.ServiceId, ids.BuildId | None], capacity.EngineProfile
        ] = {}
        self._listeners: list[Listener] = []
        self._credit = 0.0
        self._credit_ms = clock.mono_ms()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with changed profiles.

        Its last argument is the speed factor: the engine's prefill time
        relative to that of the service's average engine.
        """
        self._listeners.append(listener)

    def profile(self, endpoint: ids.EndpointId) -> capacity.EngineProfile:
        """Return the profile of an engine's present instance.

        Without observations it is that of the average engine of its build,
        or of its service, with 0 samples.
        """
        found = self._lookup(endpoint)
        held = self._held.get(endpoint)
        if held is not None and (
            found is None or held.profile.born_ms == found.born_ms
        ):
            return held.profile
        if found is None:
            return _initial_profile(endpoint, 0)
        average = self._average(found.service, found.build)
        return capacity.EngineProfile(
            endpoint,
            found.born_ms,
            average.token_ms,
            average.event_ms,
            average.event_ms_per_stream,
        )

    def average(self, service: ids.ServiceId) -> capacity.EngineProfile:
        """Return the geometric mean of the profiles of a service."""
        return self._average(service, None)

    def _average(
        self, service: ids.ServiceId, build: ids.BuildId | None
    ) -> capacity.EngineProfile:
        found = self._averages.get((service, build))
        if found is not None:
            return found
        profiles = []
        for endpoint, held in self._held.items():
            entry = self._lookup(endpoint)
            if entry is None or entry.service != service:
                continue
            if build in (None, entry.build):
                profiles.append(held.profile)
        if profiles:
            found = _mean_profile(profiles)
        elif build is not None:
            found = self._average(service, None)
        else:
            found = _initial_profile(ids.EndpointId(''), 0)
        self._averages[service, build] = found
        return found

    def observe_prompt(
        self,
        endpoint: ids.EndpointId,
        tokens: float,
        queued: float,
        first_ms: float,
    ) -> None:
        """Record the time to a first piece, with so many uncached tokens.

        ``queued`` tokens of other prompts were expected to be ahead.
        """
        if tokens <= 0 or queued > MAX_QUEUED_SHARE * tokens:
            return
        found = self._observed_of(endpoint)
        if found is None:
            return
        found.prompts += 1
        found.tokens += tokens
        found.first_ms += first_ms

    def observe_gap(
        self, endpoint: ids.EndpointId, gap_ms: float, streams: int
    ) -> None:
        """Record a gap between events, with so many streams there."""
        found = self._observed_of(endpoint)
        if found is None:
            return
        found.gaps += 1
        found.streams += streams
        found.gaps_ms += gap_ms

    def _observed_of(self, endpoint: ids.EndpointId) -> _Observed | None:
        found = self._observed.get(endpoint)
        registered = self._lookup(endpoint)
        if registered is None:
            return None
        if found is None or found.born_ms != registered.born_ms:
            if len(self._observed) >= OBSERVED_LIMIT:
                return None
            found = self._observed[endpoint] = _Observed(
                registered.born_ms, self._clock.mono_ms()
            )
        return found

    def overdue(self, age_ms: int) -> list[ids.EndpointId]:
        """Return the engines whose observations have waited so long."""
        before_ms = self._clock.mono_ms() - age_ms
        return [
            endpoint
            for endpoint, found in self._observed.items()
            if found.since_ms <= before_ms
        ]

    def take_observations(
        self, is_taken: collections.abc.Callable[[ids.EndpointId], bool]
    ) -> list[discovery_messages.EngineObservation]:
        """Remove and return the observations of the engines to report."""
        taken = []
        for endpoint in [name for name in self._observed if is_taken(name)]:
            found = self._observed.pop(endpoint)
            taken.append(
                discovery_messages.EngineObservation(
                    endpoint,
                    found.born_ms,
                    found.prompts,
                    round(found.tokens),
                    round(found.first_ms),
                    found.gaps,
                    found.streams,
                    round(found.gaps_ms),
                )
            )
        return taken

    def collect(
        self,
        observations: collections.abc.Iterable[
            discovery_messages.EngineObservation
        ],
    ) -> None:
        """Learn from observations, of this host or another one's."""
        for found in observations:
            registered = self._lookup(found.endpoint)
            if registered is None or registered.born_ms != found.born_ms:
                continue
            self._learn(registered, found)

    def _learn(
        self,
        registered: registry.Registration,
        found: discovery_messages.EngineObservation,
    ) -> None:
        endpoint = found.endpoint
        models = self._models_of(registered.service)
        self._continue_learning(models, registered)
        now_ms = self._clock.mono_ms()
        if found.prompts:
            models.prompts.add(
                endpoint,
                found.tokens / found.prompts,
                found.first_ms / found.prompts,
                now_ms,
            )
        if found.gaps:
            models.events.add(
                endpoint,
                found.streams / found.gaps,
                found.gaps_ms / found.gaps,
                now_ms,
            )
        old = self.profile(endpoint)
        event_factor = models.events.factor(endpoint)
        held = self._hold(
            capacity.EngineProfile(
                endpoint,
                registered.born_ms,
                models.prompts.slope_ms * models.prompts.factor(endpoint),
                models.events.constant_ms * event_factor,
                models.events.slope_ms * event_factor,
                old.samples + found.prompts + found.gaps,
            )
        )
        self._log_change(held)

    def _models_of(self, service: ids.ServiceId) -> _ServiceModels:
        models = self._models.get(service)
        if models is None:
            average = self.average(service)
            models = self._models[service] = _ServiceModels(
                speed_model.SpeedModel(
                    INITIAL_FIRST_MS,
                    average.token_ms,
                    TYPICAL_TOKENS,
                    PROMPT_LEVEL,
                ),
                speed_model.SpeedModel(
                    average.event_ms,
                    average.event_ms_per_stream,
                    TYPICAL_STREAMS,
                    EVENT_LEVEL,
                ),
            )
        return models

    def _continue_learning(
        self, models: _ServiceModels, registered: registry.Registration
    ) -> None:
        """Start from the profile that another collector has learned."""
        endpoint = registered.endpoint
        if self._collected.get(endpoint) == registered.born_ms:
            return
        self._collected[endpoint] = registered.born_ms
        known = self.profile(endpoint)
        average = self.average(registered.service)
        models.prompts.factors[endpoint] = math.log(
            known.token_ms / average.token_ms
        )
        models.events.factors[endpoint] = math.log(
            known.event_ms / average.event_ms
        )

    def _hold(self, profile: capacity.EngineProfile) -> _Held:
        held = self._held.get(profile.endpoint)
        if held is None or held.profile.born_ms != profile.born_ms:
            held = self._held[profile.endpoint] = _Held(profile)
        held.profile = profile
        return held

    @staticmethod
    def _log_change(held: _Held) -> None:
        """Log an engine's speed if it has changed much."""
        profile = held.profile
        if held.logged is None:
            held.logged = profile
            return
        if _difference(held.logged, profile) <= LOGGED_CHANGE:
            return
        held.logged = profile
        logger.info(
            'engine_speed_changed',
            endpoint=profile.endpoint,
            token_us=round(profile.token_ms * MS_PER_S, 1),
            event_ms=round(profile.event_ms, 1),
            event_ms_per_stream=round(profile.event_ms_per_stream, 2),
            samples=profile.samples,
        )

    def take_due(
        self,
        collects: collections.abc.Callable[[ids.EndpointId], bool],
        collectors: int,
        is_carried: bool = True,
    ) -> list[capacity.EngineProfile]:
        """Return the profiles to broadcast now.

        ``collects`` returns whether this host collects for an engine,
        ``collectors`` is the number of the region's collecting hosts. Without
        a message that is sent anyway, several profiles go together.
        """
        now_ms = self._clock.mono_ms()
        rate_per_ms = PROFILES_PER_S / MS_PER_S / max(collectors, 1)
        earned = (now_ms - self._credit_ms) * rate_per_ms
        self._credit = min(self._credit + earned, PROFILES_PER_S)
        self._credit_ms = now_ms
        if self._credit < (1.0 if is_carried else MIN_TOGETHER):
            return []
        due = [
            held
            for endpoint, held in self._held.items()
            if collects(endpoint) and _is_due(held, now_ms)
        ]
        due.sort(key=lambda held: (not _is_changed(held), held.broadcast_ms))
        chosen = due[: int(self._credit)]
        self._credit -= len(chosen)
        for held in chosen:
            held.broadcast, held.broadcast_ms = held.profile, now_ms
        return [held.profile for held in chosen]

    def merge(
        self, profiles: collections.abc.Iterable[capacity.EngineProfile]
    ) -> None:
        """Take over profiles that a collector has broadcast."""
        taken = []
        for profile in profiles:
            registered = self._lookup(profile.endpoint)
            if registered is None or registered.born_ms != profile.born_ms:
                continue
            self._hold(profile)
            taken.append((profile, registered.service))
        if taken:
            self._averages.clear()
        for profile, service in taken:
            factor = profile.token_ms / self.average(service).token_ms
            for listener in self._listeners:
                listener(service, profile, factor)

    def announce(self, profiles: list[capacity.EngineProfile]) -> None:
        """Pass this collector's own profiles to the listeners."""
        self.merge(profiles)

    def evict(self, endpoint: ids.EndpointId) -> None:
        """Forget an engine whose instance has ended."""
        self._held.pop(endpoint, None)
        self._observed.pop(endpoint, None)
        self._collected.pop(endpoint, None)
        self._averages.clear()
        for models in self._models.values():
            models.prompts.remove(endpoint)
            models.events.remove(endpoint)

    def keep_only(self, endpoints: set[ids.EndpointId]) -> None:
        """Forget engines that are not in ``endpoints``."""
        for endpoint in {*self._held, *self._collected, *self._observed}:
            if endpoint not in endpoints:
                self.evict(endpoint)


def _initial_profile(
    endpoint: ids.EndpointId, born_ms: int
) -> capacity.EngineProfile:
    return capacity.EngineProfile(
        endpoint,
        born_ms,
        INITIAL_TOKEN_MS,
        INITIAL_EVENT_MS,
        INITIAL_STREAM_MS,
    )


def _mean_profile(
    profiles: list[capacity.EngineProfile],
) -> capacity.EngineProfile:
    """Return the geometric mean of profiles."""
    return capacity.EngineProfile(
        ids.EndpointId(''),
        0,
        _geometric_mean([found.token_ms for found in profiles]),
        _geometric_mean([found.event_ms for found in profiles]),
        _geometric_mean([found.event_ms_per_stream for found in profiles]),
        sum(found.samples for found in profiles),
    )


def _geometric_mean(values: list[float]) -> float:
    return math.exp(sum(map(math.log, values)) / len(values))


def _is_due(held: _Held, now_ms: int) -> bool:
    since_ms = now_ms - held.broadcast_ms
    return since_ms >= REFRESH_MS or (
        since_ms >= MIN_INTERVAL_MS and _is_changed(held)
    )


def _is_changed(held: _Held) -> bool:
    """Return whether a profile differs from what was broadcast last."""
    if held.broadcast is None:
        return True
    return _difference(held.broadcast, held.profile) > MIN_CHANGE


def _difference(
    one: capacity.EngineProfile, other: capacity.EngineProfile
) -> float:
    """Return the largest difference of two profiles' logarithms."""
    return max(
        abs(math.log(one.token_ms / other.token_ms)),
        abs(math.log(one.event_ms / other.event_ms)),
    )
