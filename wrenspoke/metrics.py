"""Metrics of a daemon, rendered for ``GET /metrics``."""

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

from wrenspoke import process_load
from wrenspoke.transport import descriptors
from wrenspoke.transport import links

NAMES = {
    'wrenspoke_requests_ended_total': 'requests by how they ended',
    'wrenspoke_requests_in_flight': 'requests being served now',
    'wrenspoke_endpoint_sends_total': 'sends of work to endpoints',
    'wrenspoke_retries_spent_total': 'retries taken from the budget',
    'wrenspoke_retries_denied_total': 'retries the budget did not allow',
    'wrenspoke_endpoint_limit_per_s': (
        'requests a second an endpoint says that it takes'
    ),
    'wrenspoke_endpoint_limit_refused_total': (
        'times an endpoint took no more, by its limit'
    ),
    'wrenspoke_endpoint_backoff_s': (
        'remaining backoff from an endpoint, in seconds'
    ),
    'wrenspoke_endpoint_backoff_refused_total': (
        'requests an endpoint refused with a time'
    ),
    'wrenspoke_endpoint_leaving': '1 while an endpoint is known to leave',
    'wrenspoke_quarantine_refused_total': (
        'requests turned away as endpoints ended under them'
    ),
    'wrenspoke_requests_in_quarantine': (
        'requests that are in quarantine, trials too'
    ),
    'wrenspoke_configuration_index': 'index of the configuration in force',
    'wrenspoke_serving': '1 while this host serves callers',
    'wrenspoke_draining': '1 while this host is leaving',
    'wrenspoke_ledger_keys': 'once-only keys this host holds a copy of',
    'wrenspoke_peers_usable': 'usable peers of the data centre',
    'wrenspoke_link_sent_bytes_total': 'bytes sent on links',
    'wrenspoke_link_received_bytes_total': 'bytes received on links',
    'wrenspoke_links_not_accepted_total': (
        'connections of other hosts that were not accepted'
    ),
    'wrenspoke_processor_ms_total': 'processor time by group of threads',
    'wrenspoke_processor_waits_total': (
        'times a thread gave up the processor to wait'
    ),
    'wrenspoke_descriptors': 'open connections by what they are for',
    'wrenspoke_descriptor_limit': 'descriptors the process may have open',
    'wrenspoke_first_ms': 'ms to the first token or whole answer',
    'wrenspoke_term': 'term of the control group',
    'wrenspoke_leading': '1 while this control host leads',
    'wrenspoke_commit_index': 'index up to which the log is committed',
    'wrenspoke_voters': 'voters of the control group',
}


class Metrics:
    """Registry of the metrics of one daemon."""

    def __init__(self, host: str):
        self._registry = aioprometheus.Registry()
        self._labels = {'host': host}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._first = aioprometheus.Summary(
            'wrenspoke_first_ms',
            NAMES['wrenspoke_first_ms'],
            const_labels=self._labels,
            registry=self._registry,
        )

    def observe_first_ms(self, endpoint: str, first_ms: float) -> None:
        """Record the time to the first token or to a whole response."""
        self._first.observe({'endpoint': endpoint}, first_ms)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a metric; ``name`` is a key of ``NAMES``."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = self._gauges[name] = aioprometheus.Gauge(
                name,
                NAMES[name],
                const_labels=self._labels,
                registry=self._registry,
            )
        gauge.set(labels, value)

    def set_link_metrics(self, used: links.Links) -> None:
        """Copy the byte counters of the links into the metrics."""
        self.set('wrenspoke_link_sent_bytes_total', used.sent_bytes)
        self.set('wrenspoke_link_received_bytes_total', used.received_bytes)
        self.set('wrenspoke_links_not_accepted_total', used.failed_accepts)

    def set_process_load(self, budget: descriptors.DescriptorBudget) -> None:
        """Copy the use of processor and descriptors into the metrics."""
        used = process_load.read_processor_use()
        for group, time_ms in used.time_ms.items():
            self.set(
                'wrenspoke_processor_ms_total', time_ms, threads=group.value
            )
        self.set('wrenspoke_processor_waits_total', used.waits)
        for use, count in budget.counts().items():
            self.set('wrenspoke_descriptors', count, use=use)
        self.set('wrenspoke_descriptor_limit', budget.limit)

    def response(self, request: web.Request) -> web.Response:
        """Return the metrics in a format that the scraper accepts."""
        accepts = request.headers.getall('Accept', [])
        body, response_headers = renderer.render(self._registry, list(accepts))
        return web.Response(body=body, headers=response_headers)
