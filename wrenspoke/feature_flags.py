"""What of the decisions can be switched off, to measure its worth."""

import enum


class FeatureFlag(enum.Enum):
    """Name what can be switched off, to measure what it is worth.

    Every one is on unless a host's settings say otherwise.
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
