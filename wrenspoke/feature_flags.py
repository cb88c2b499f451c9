"""Flags that switch off single features, to measure their effect."""

import enum


class FeatureFlag(enum.Enum):
    """A feature that can be switched off to measure its effect.

    All are enabled, except those in ``switched_off`` of a host's settings.
    """

    RELAYS = 'relays'
    DEADLINE_REJECTION = 'refusing_hopeless'
    CACHE_TRANSFER = 'taking_over'
    WARMUP_PROBES = 'asking_warmth'
    PREFIX_AFFINITY = 'usual_engines'
    PAUSE_COST = 'weighing_pauses'
    PREFILL_COST = 'weighing_reading'
    REGISTRY_SNAPSHOTS = 'keeping_endpoints'
    STARTUP_WAIT = 'waiting_at_start'
    OUTLIER_EJECTION = 'setting_aside'
    SENT_CALL_BROADCAST = 'telling_sent'

    # Members are compared by identity; Enum's own hash is slow, and flags are
    # looked up for each candidate endpoint.
    __hash__ = object.__hash__
