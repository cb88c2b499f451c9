"""Summarise scheduling decisions from log files: ``wrenspoke report``.

Reads the logs of entry hosts on passed-through calls: outcomes over time
and by reason, predicted against actual time to first piece, calls forwarded
and sent back, how long calls were queued before they were refused, and
refusals while endpoints had free places.
"""

import collections
import collections.abc
import datetime
import enum
import statistics
import typing

import msgspec

from wrenspoke import logread

# Lower bounds of the bands of predicted time to first piece.
BANDS_MS = (0, 25, 50, 100, 200, 400, 1_000)
QUANTILE_COUNT = 10
OK_STATUS = '2'
UNAVAILABLE = '503'
TRAFFIC_KEY = ('role', 'kind', 'distance')
TRAFFIC_NUMBERS = ('messages', 'bytes', 'lived_ms')
MS_PER_S = 1_000
UNKNOWN_HOST = ''


class Outcome(enum.Enum):
    """The outcome of a call, as seen by its caller."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'


class Spread(msgspec.Struct, frozen=True):
    """Count, median, and 10th and 90th percentile of a sample."""

    count: int
    tenth: float
    median: float
    ninetieth: float


class Reason(msgspec.Struct, frozen=True, order=True):
    """Number of calls of a route with the same outcome and reason."""

    count: int
    outcome: str
    route: str
    reason: str


class TrafficRate(msgspec.Struct, frozen=True, order=True):
    """Messages of a kind sent by hosts of a role, per second and host."""

    bytes_per_s: float
    messages_per_s: float
    role: str
    kind: str
    distance: str
    hosts: int


class Report(msgspec.Struct):
    """The figures of a report.

    ``seconds`` has the number of calls by outcome for each second since the
    first end of a call; ``calibration`` the ratio of predicted to actual time
    to first piece, by band of the prediction; ``held_ms`` the time that
    refused calls were queued; ``refused_with_free_places`` the refusals while
    endpoints had free places.
    """

    calls: dict[str, int]
    reasons: list[Reason]
    seconds: list[dict[str, int]]
    calibration: dict[str, Spread]
    passed_on: int
    relayed: int
    turned_back: int
    held_ms: Spread | None
    refused_with_free_places: int
    traffic: list[TrafficRate] = []


class _CallEnd(msgspec.Struct):
    """The outcome of a call at one host."""

    at: str
    outcome: Outcome
    route: str
    reason: str


class _TrafficSample(msgspec.Struct):
    """Cumulative traffic of one kind since a host process started."""

    messages: float
    bytes: float
    lived_ms: float


class Collector:
    """Builds a report from log lines in any order."""

    def __init__(self):
        self._ends: dict[tuple[str, str], _CallEnd] = {}
        self._forwarded: set[tuple[str, str]] = set()
        self._ratios: dict[str, list[float]] = collections.defaultdict(list)
        self._held_ms: list[float] = []
        self._passed_on = self._relayed = self._turned_back = 0
        self._with_free_places = 0
        # (role, kind, distance) -> (host, life) -> latest sample.
        self._traffic: dict[
            tuple[str, str, str], dict[tuple[str, str], _TrafficSample]
        ] = collections.defaultdict(dict)

    def add_line(self, line: logread.LogLine) -> None:
        """Add one line; events that are not reported are ignored."""
        take = _LINE_HANDLERS.get(line.event)
        if take is not None:
            take(self, line)

    def _on_answered(self, line: logread.LogLine) -> None:
        fields = line.fields
        self._record_calibration(fields)
        first_ms = _number(fields.get('first_ms'))
        target_ms = _number(fields.get('target_ms'))
        pause_ms = _number(fields.get('longest_pause_ms')) or 0.0
        pause_target_ms = _number(fields.get('pause_target_ms'))
        status = fields.get('status', '')
        if not status.startswith(OK_STATUS):
            self._record_end(line, Outcome.FAILED, f'status {status}')
        elif first_ms is not None and target_ms and first_ms > target_ms:
            self._record_end(line, Outcome.LATE, 'first piece')
        elif pause_target_ms and pause_ms > pause_target_ms:
            self._record_end(line, Outcome.LATE, 'pause')
        else:
            self._record_end(line, Outcome.IN_TIME, 'in time')

    def _record_calibration(self, fields: dict[str, str]) -> None:
        expected_ms = _number(fields.get('expected_ms'))
        took_ms = _number(fields.get('took_ms'))
        if expected_ms is None or took_ms is None:
            return
        self._ratios[band(expected_ms)].append(
            max(expected_ms, 1.0) / max(took_ms, 1.0)
        )

    def _on_gave_up(self, line: logread.LogLine) -> None:
        fields = line.fields
        reason = fields.get('cause', '').partition(':')[0]
        if fields.get('status') != UNAVAILABLE:
            self._record_end(line, Outcome.FAILED, reason)
            return
        self._record_end(line, Outcome.REFUSED, reason)
        held_ms = _number(fields.get('held_ms'))
        if held_ms is not None:
            self._held_ms.append(held_ms)
        if _number(fields.get('free_places')):
            self._with_free_places += 1

    def _on_refused(self, line: logread.LogLine) -> None:
        self._record_end(line, Outcome.REFUSED, line.fields.get('reason', ''))

    def _on_passed_on(self, line: logread.LogLine) -> None:
        fields = line.fields
        self._passed_on += 1
        self._relayed += fields.get('relayed') == 'true'
        self._forwarded.add((fields['request'], fields.get('peer', '')))

    def _on_relayed(self, line: logread.LogLine) -> None:
        fields = line.fields
        self._forwarded.add((fields['request'], fields.get('peer', '')))

    def _on_passed_back(self, _line: logread.LogLine) -> None:
        self._turned_back += 1

    def _on_traffic(self, line: logread.LogLine) -> None:
        fields = line.fields
        key = tuple(fields.get(name, '') for name in TRAFFIC_KEY)
        numbers = [_number(fields.get(name)) for name in TRAFFIC_NUMBERS]
        if None in numbers or not numbers[-1]:
            return
        sent = _TrafficSample(*numbers)
        life = (line.host, fields.get('life', ''))
        known = self._traffic[key].get(life)
        if known is None or known.lived_ms < sent.lived_ms:
            self._traffic[key][life] = sent

    def _record_end(
        self, line: logread.LogLine, outcome: Outcome, reason: str
    ) -> None:
        key = (line.fields.get('request', ''), line.host)
        route = line.fields.get('route', '')
        self._ends[key] = _CallEnd(line.timestamp, outcome, route, reason)

    def report(self) -> Report:
        """Return the report on the lines added so far."""
        ends = [
            end
            for key, end in self._ends.items()
            if key not in self._forwarded
        ]
        counted = collections.Counter(
            (end.outcome.value, end.route, end.reason) for end in ends
        )
        reasons = [Reason(count, *key) for key, count in counted.items()]
        calls = collections.Counter(end.outcome.value for end in ends)
        return Report(
            calls={item.value: calls[item.value] for item in Outcome},
            reasons=sorted(reasons, reverse=True),
            seconds=_by_second(ends),
            calibration={
                name: _spread(self._ratios[name])
                for name in map(band, BANDS_MS)
                if self._ratios[name]
            },
            passed_on=self._passed_on,
            relayed=self._relayed,
            turned_back=self._turned_back,
            held_ms=_spread(self._held_ms) if self._held_ms else None,
            refused_with_free_places=self._with_free_places,
            traffic=_traffic(self._traffic),
        )


_LINE_HANDLERS: dict[
    str, collections.abc.Callable[[Collector, logread.LogLine], None]
] = {
    'answered': Collector._on_answered,
    'gave_up': Collector._on_gave_up,
    'request_refused': Collector._on_refused,
    'passed_on': Collector._on_passed_on,
    'relayed': Collector._on_relayed,
    'passed_back': Collector._on_passed_back,
    'traffic': Collector._on_traffic,
}


def _traffic(
    found: dict[tuple[str, str, str], dict[tuple[str, str], _TrafficSample]],
) -> list[TrafficRate]:
    """Return traffic rates by role, kind and distance, highest first.

    Rates are averaged over all hosts of the role, including those that sent
    nothing of the kind.
    """
    lived_ms: dict[str, dict[tuple[str, str], float]] = (
        collections.defaultdict(dict)
    )
    for (role, _kind, _distance), by_life in found.items():
        for life, sent in by_life.items():
            known_ms = lived_ms[role].get(life, 0.0)
            lived_ms[role][life] = max(known_ms, sent.lived_ms)
    kinds = []
    for (role, kind, distance), by_life in found.items():
        total_s = sum(lived_ms[role].values()) / MS_PER_S
        kinds.append(
            TrafficRate(
                sum(sent.bytes for sent in by_life.values()) / total_s,
                sum(sent.messages for sent in by_life.values()) / total_s,
                role,
                kind,
                distance,
                len({host for host, _life in by_life}),
            )
        )
    return sorted(kinds, reverse=True)


def band(expected_ms: float) -> str:
    """Return the label of the band that contains a predicted time."""
    lower = max(edge for edge in BANDS_MS if edge <= max(expected_ms, 0))
    place = BANDS_MS.index(lower)
    if place + 1 == len(BANDS_MS):
        return f'{lower} and more'
    return f'{lower} to {BANDS_MS[place + 1]}'


def _by_second(ends: list[_CallEnd]) -> list[dict[str, int]]:
    if not ends:
        return []
    times = [datetime.datetime.fromisoformat(end.at) for end in ends]
    began = min(times)
    length = int((max(times) - began).total_seconds()) + 1
    seconds = [{item.value: 0 for item in Outcome} for _s in range(length)]
    for end, at in zip(ends, times):
        second = int((at - began).total_seconds())
        seconds[second][end.outcome.value] += 1
    return seconds


def _spread(values: list[float]) -> Spread:
    if len(values) == 1:
        return Spread(1, values[0], values[0], values[0])
    cuts = statistics.quantiles(values, n=QUANTILE_COUNT, method='inclusive')
    return Spread(len(values), cuts[0], statistics.median(values), cuts[-1])


def _number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def read(files: list[str]) -> Report:
    """Return the report on the files; shows progress on a terminal.

    :raises OSError: a file cannot be read
    """
    collector = Collector()
    with logread.progress_bar(files) as bar:
        for line in logread.lines(files, bar.update):
            collector.add_line(line)
    return collector.report()


def as_text(found: Report) -> typing.Iterator[str]:
    """Yield the lines of a report as plain text."""
    calls = sum(found.calls.values())
    yield f'{calls} calls: ' + ', '.join(
        f'{count} {name}' for name, count in found.calls.items()
    )
    yield ''
    yield f'{"calls":>6}  {"outcome":8} {"route":14} reason'
    for reason in found.reasons:
        yield (
            f'{reason.count:6}  {reason.outcome:8} {reason.route:14} '
            f'{reason.reason}'
        )
    yield ''
    yield 'expected over real first piece, by what was expected, ms'
    for name, spread in found.calibration.items():
        yield (
            f'  {name:14} {spread.count:6} calls: tenth {spread.tenth:.2f}, '
            f'median {spread.median:.2f}, ninetieth {spread.ninetieth:.2f}'
        )
    yield ''
    share = found.turned_back / found.passed_on if found.passed_on else 0.0
    yield (
        f'passed on {found.passed_on}, {found.relayed} of them through a '
        f'third region; turned back {found.turned_back} ({share:.1%})'
    )
    if found.held_ms is not None:
        held = found.held_ms
        yield (
            f'held before a refusal, ms: median {held.median:.0f}, '
            f'ninetieth {held.ninetieth:.0f}; with places free: '
            f'{found.refused_with_free_places} of {held.count}'
        )
    if found.traffic:
        yield ''
        yield 'sent by a host of the role, a second'
        yield (
            f'{"bytes":>9} {"messages":>9}  {"role":8} {"kind":16} '
            f'{"distance":16} by hosts'
        )
    for sent in found.traffic:
        yield (
            f'{sent.bytes_per_s:9.1f} {sent.messages_per_s:9.3f}  '
            f'{sent.role:8} {sent.kind:16} {sent.distance:16} {sent.hosts}'
        )
    yield ''
    yield 'second  ' + '  '.join(f'{item.value:>7}' for item in Outcome)
    for second, counts in enumerate(found.seconds):
        yield f'{second:6}  ' + '  '.join(
            f'{counts[item.value]:7}' for item in Outcome
        )


def plot(found: Report, path: str) -> None:
    """Plot a report to a file, as SVG or PNG depending on its suffix.

    :raises ImportError: matplotlib is not installed
    :raises ValueError: the suffix is not supported
    """
    from matplotlib import figure

    drawn = figure.Figure(figsize=(10, 7), layout='constrained')
    over_time, errors = drawn.subplots(2, 1)
    over_time.stackplot(
        range(len(found.seconds)),
        *(
            [counts[item.value] for counts in found.seconds]
            for item in Outcome
        ),
        labels=[item.value for item in Outcome],
        colors=['tab:green', 'tab:olive', 'tab:orange', 'tab:red'],
    )
    over_time.set_xlabel('second')
    over_time.set_ylabel('calls a second')
    over_time.legend(loc='upper right')
    names = list(found.calibration)
    spreads = list(found.calibration.values())
    errors.errorbar(
        names,
        [spread.median for spread in spreads],
        yerr=[
            [spread.median - spread.tenth for spread in spreads],
            [spread.ninetieth - spread.median for spread in spreads],
        ],
        fmt='o',
        capsize=4,
    )
    errors.axhline(1.0, color='grey', linewidth=0.8)
    errors.set_yscale('log')
    errors.set_xlabel('expected first piece, ms')
    errors.set_ylabel('expected over real')
    drawn.savefig(path)
