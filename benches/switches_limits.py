"""Rows of ``benches.switched_off``: limits advertised by endpoints."""

from benches import switches

DECISIONS = switches.DECISIONS
LIMITING = DECISIONS + 'limiting/'
SERVING = DECISIONS + 'serving/'
INCIDENT = 'tests/test_endpoint_limits.py'
FLEET = 'tests/test_endpoint_limit_fleet.py'
UNITS = 'tests/test_advertised_limits.py'
Switch = switches.Switch

SWITCHES = [
    Switch(
        'limits of passed calls unread',
        SERVING + 'sending.py',
        'self._record_advertised(call, destination, response)',
        'pass',
        f'{INCIDENT}::test_passthrough_respects_advertised_limit',
    ),
    Switch(
        'limits of chats unread',
        SERVING + 'dispatch.py',
        'self._record_advertised(send, endpoint, send_permit, response)',
        'pass',
        f'{INCIDENT}::test_chats_respect_advertised_limit',
    ),
    Switch(
        'leave not looked at as a call leaves',
        SERVING + 'sending.py',
        '        if (\n            destination.endpoint is not None\n'
        '            and not destination.send_permit.is_valid()\n        ):\n',
        '        if False:\n',
        f'{INCIDENT}::test_expired_permit_sends_nothing',
    ),
    Switch(
        'limited endpoints offered to other regions',
        SERVING + 'endpoint_selector.py',
        'endpoints = unlimited or endpoints',
        'pass',
        f'{INCIDENT}::test_offers_exclude_limited_endpoints',
    ),
    Switch(
        'callers come back together',
        SERVING + 'endpoint_selector.py',
        'return max(min(waits_ms), line.schedule(urgency, sum(shares)))',
        'return min(waits_ms)',
        f'{INCIDENT}::test_call_is_refused_when_all_limits_are_used_up',
    ),
    Switch(
        'the urgent wait for what an endpoint refuses',
        SERVING + 'placement.py',
        'if urgent and not all(map(self._is_limited, endpoints)):',
        'if urgent:',
        f'{INCIDENT}::test_urgent_chat_is_refused_past_its_deadline',
    ),
    Switch(
        'every host lends',
        LIMITING + 'endpoint_limits.py',
        'if host == self._host:\n                return self._buckets.take',
        'if True:\n                return self._buckets.take',
        f'{FLEET}::test_limit_is_kept_and_used',
    ),
    Switch(
        'part of a region lends all',
        LIMITING + 'endpoint_buckets.py',
        'return hosts / self._max_hosts',
        'return 1.0',
        f'{FLEET}::test_faults_do_not_exceed_engine_limit -k halves',
    ),
    Switch(
        'who stands in lends all',
        LIMITING + 'endpoint_buckets.py',
        'FALLBACK_SHARE = 0.4',
        'FALLBACK_SHARE = 1.0',
        f'{FLEET}::test_faults_do_not_exceed_engine_limit -k hide',
    ),
    Switch(
        'older answers end a limit',
        LIMITING + 'endpoint_buckets.py',
        'return grant.number > bucket.last_advertised',
        'return True',
        f'{UNITS}::test_stale_response_does_not_raise_limit',
    ),
    Switch(
        'leave not kept for the urgent',
        LIMITING + 'endpoint_buckets.py',
        'if not deficit_ms and bucket.is_reserved(rank, now_ms):',
        'if False:',
        f'{FLEET}::test_urgent_calls_go_first_where_all_engines_are_limited',
    ),
    Switch(
        'limits told once',
        LIMITING + 'endpoint_buckets.py',
        'for limit in self._advertised.active():',
        'for limit in []:',
        f'{FLEET}::test_restarted_host_receives_limits',
    ),
    Switch(
        'ends of limits told once',
        LIMITING + 'endpoint_buckets.py',
        'CHANGE_GOSSIP_MS = 10_000',
        'CHANGE_GOSSIP_MS = 0',
        f'{FLEET}::test_limit_removal_reaches_host_that_missed_gossip',
    ),
    Switch(
        'limits of a life kept for the next',
        LIMITING + 'advertised_limits.py',
        'if found is None or found.life != life:',
        'if found is None:',
        f'{UNITS}::test_newest_limit_of_a_life_counts',
    ),
]
