"""Mutations of how streams end and go on."""

from benches.switches import DECISIONS
from benches.switches import Switch

SERVING = DECISIONS + 'serving/'
PASSING = 'tests/test_passing.py'
BUILDS = (
    'tests/test_stream_builds.py::'
    'test_stream_goes_on_at_its_build_or_is_refused'
)
STORE = 'tests/test_build_store.py'

SWITCHES = [
    Switch(
        'streams that end inside an event are complete',
        SERVING + 'attempts.py',
        'if answer.has_events and tracker.is_inside_event:',
        'if False:',
        f'{PASSING}::test_stream_that_ends_inside_an_event_is_not_complete',
    ),
    Switch(
        'streams without a byte are complete',
        SERVING + 'attempts.py',
        'if answer.framing is web.BodyFraming.CONNECTION and (',
        'if False and (',
        f'{PASSING}::test_stream_without_any_event_or_length_is_not_complete',
    ),
    Switch(
        'callers without chunks see an orderly end',
        'wrenspoke/protocol/passthrough_api.py',
        'transport.set_close_mode(self._request, transport.RESET_ON_CLOSE)',
        'pass',
        f'{PASSING}::test_broken_stream_is_visibly_broken_for_every_caller',
    ),
    Switch(
        'endpoints chosen whatever their build',
        SERVING + 'endpoint_selector.py',
        'and build in (None, found.registration.build)',
        'and True',
        BUILDS,
    ),
    Switch(
        'streams taken up whatever their build',
        SERVING + 'passthrough.py',
        'if not call.resumes_stream or not context.route.resumable:',
        'if True:',
        BUILDS,
    ),
    Switch(
        'hops not told the build',
        SERVING + 'destinations.py',
        '            offer.region,\n            context.build,\n',
        '            offer.region,\n            None,\n',
        BUILDS,
    ),
    Switch(
        'builds not stored at other hosts',
        SERVING + 'stream_builds.py',
        'self._send_to_region(said)',
        'pass',
        STORE,
    ),
    Switch(
        'builds not stored in another region',
        SERVING + 'stream_builds.py',
        'self._send_to_other_region(said)',
        'pass',
        STORE,
    ),
    Switch(
        'unknown builds guessed',
        SERVING + 'stream_builds.py',
        'if len(builds) != 1:',
        'if not builds:',
        BUILDS,
    ),
    Switch(
        'one of two builds of a request taken',
        SERVING + 'stream_builds.py',
        'if old.build != said.build:',
        'if False:',
        f'{STORE}::test_request_with_two_builds_has_none',
    ),
    Switch(
        'caches of other builds fetched',
        SERVING + 'endpoint_selector.py',
        'if source is None or source.registration.build != item.build:',
        'if source is None:',
        'tests/test_far.py::test_prompt_cache_is_fetched_from_its_holder',
    ),
    Switch(
        'rest of a stream refused for the whole',
        SERVING + 'destinations.py',
        'if context.build is not None:',
        'if False:',
        'tests/test_far.py::test_rest_of_a_stream_is_not_refused_for_the_whole',
    ),
]
