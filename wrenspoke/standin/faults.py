"""Faults that a stand-in shows when a test asks for them."""

import msgspec


class Faults(msgspec.Struct):
    """Say how a stand-in misbehaves; the default is not at all.

    ``break_after_events`` closes a stream after so many events, with
    ``end_early`` as if it were whole but for its end mark,
    ``truncate`` states a longer body than it sends, ``crossed`` answers
    with another request's id, ``close_after_read`` counts a request and
    closes, ``status`` answers with that status, ``slow_factor``
    stretches all times, ``delay_ms`` holds every answer back.
    ``limit_text`` is advertised in each answer as the engine's limit, and
    ``leaving_text`` that it leaves. With ``retry_after_text`` each chat gets
    503 with that ``Retry-After``.
    ``fatal_text`` in a body ends an engine ``fatal_after_ms`` after it began
    to run it; it is back ``back_after_ms`` later.
    """

    break_after_events: int = 0
    break_times: int = 0
    end_early: bool = False
    truncate: bool = False
    crossed: bool = False
    close_after_read: bool = False
    status: int = 0
    slow_factor: float = 1.0
    delay_ms: int = 0
    redirect_to: str = ''
    limit_text: str = ''
    leaving_text: str = ''
    retry_after_text: str = ''
    fatal_text: str = ''
    fatal_after_ms: int = 50
    back_after_ms: int = 2_000
