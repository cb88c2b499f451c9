"""Faults that tests inject into fake engines and services."""

import msgspec


class Faults(msgspec.Struct):
    """The faults to inject; none by default.

    * ``break_after_events``: abort a stream after this many events, at
      most ``break_times`` times; with ``end_early`` the response ends
      cleanly, but without the end marker
    * ``truncate``: send less of a body than its Content-Length
    * ``crossed``: echo the id of another request
    * ``close_after_read``: count a request, then abort its connection
    * ``status``: respond with this status
    * ``slow_factor``: multiply all processing times
    * ``delay_ms``: delay every response
    * ``redirect_to``: respond with this ``Location``
    * ``limit_text``, ``leaving_text``: headers that advertise the
      engine's rate limit and that it is leaving
    * ``retry_after_text``: reject each chat with 503 and this
      ``Retry-After``
    * ``fatal_text``: a request whose body contains it crashes the engine
      after ``fatal_after_ms``; it restarts ``back_after_ms`` later
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
