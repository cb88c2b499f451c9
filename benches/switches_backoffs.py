"""Rows of ``benches.switched_off``: endpoint backoffs and send permits."""

from benches import switches

DECISIONS = switches.DECISIONS
LIMITING = DECISIONS + 'limiting/'
SERVING = DECISIONS + 'serving/'
BACKOFFS = LIMITING + 'endpoint_backoffs.py'
GATE = LIMITING + 'endpoint_gate.py'
INCIDENT = 'tests/test_endpoint_backoffs.py'
FLEET = 'tests/test_backoff_fleet.py'
UNITS = 'tests/test_backoffs.py'
PERMITS = 'tests/test_endpoint_gate.py'
REGISTRY = 'tests/test_registry.py'
Switch = switches.Switch

SWITCHES = [
    Switch(
        'backoffs unread',
        GATE,
        'self.backoffs.on_response(life, backoff_ms, sent_ms)',
        'pass',
        f'{INCIDENT}::test_passthrough_respects_backoff',
    ),
    Switch(
        'backoffs of chats not asked for',
        SERVING + 'placement.py',
        'return self._gate.remaining_ms(_life_of(endpoint))',
        'return 0',
        f'{INCIDENT}::test_chat_is_refused_when_all_engines_back_off',
    ),
    Switch(
        'leaves unread',
        GATE,
        'self.leaving.mark(life)',
        'pass',
        f'{INCIDENT}::test_passthrough_avoids_leaving_engine',
    ),
    Switch(
        'leaves of chats not asked for',
        SERVING + 'placement.py',
        'and not self._is_draining(endpoint.endpoint)',
        '',
        f'{INCIDENT}::test_streams_complete_at_leaving_engine',
    ),
    Switch(
        'permits valid in a backoff',
        GATE,
        'if self._gate.backoffs.own_remaining_ms(self._life):',
        'if False:',
        f'{PERMITS}::test_permit_is_validated_at_send_time',
    ),
    Switch(
        'permits valid at what leaves',
        GATE,
        'if leaving and not self._is_continuation:',
        'if False:',
        f'{PERMITS}::test_permit_is_validated_at_send_time',
    ),
    Switch(
        'polls in a backoff',
        GATE,
        'remaining_ms = self.backoffs.own_remaining_ms(life)',
        'remaining_ms = 0',
        f'{PERMITS}::test_no_permit_during_backoff',
    ),
    Switch(
        'polls show that an endpoint serves',
        GATE,
        '            is_work and head.status not in',
        '            head.status not in',
        f'{PERMITS}::test_poll_does_not_show_that_an_endpoint_serves',
    ),
    Switch(
        'shorter times win',
        BACKOFFS,
        'max(found.until_ms, now_ms + capped_ms)',
        'now_ms + capped_ms',
        f'{UNITS}::test_nothing_is_sent_before_the_latest_time',
    ),
    Switch(
        'backoffs without an end',
        BACKOFFS,
        'MAX_BACKOFF_MS = 60_000',
        'MAX_BACKOFF_MS = 6_000_000',
        f'{UNITS}::test_nothing_is_sent_before_the_latest_time',
    ),
    Switch(
        'backoffs of an ended life',
        BACKOFFS,
        'if not self._exists(life):',
        'if False:',
        f'{UNITS}::test_backoff_does_not_apply_to_next_life',
    ),
    Switch(
        'one refusal binds all hosts',
        BACKOFFS,
        'REFUSAL_QUORUM = 2',
        'REFUSAL_QUORUM = 1',
        f'{UNITS}::test_others_refusals_count_once_two_agree',
    ),
    Switch(
        'refusals kept to oneself',
        BACKOFFS,
        'self._gossip(life, found.until_ms - now_ms)',
        'pass',
        f'{FLEET}::test_hosts_of_a_large_region_learn_from_each_other',
    ),
    Switch(
        'all hosts probe',
        BACKOFFS,
        'position = hosts.index(self._host)',
        'position = 0',
        f'{UNITS}::test_one_host_probes_at_a_time',
    ),
    Switch(
        'probes as often as before',
        BACKOFFS,
        'doubled_ms = 2 * found.probe_interval_ms',
        'doubled_ms = found.probe_interval_ms',
        f'{UNITS}::test_refused_probes_become_rarer',
    ),
    Switch(
        'hosts return with all requests',
        BACKOFFS,
        'return self.in_flight > self.responses',
        'return False',
        f'{UNITS}::test_host_returns_with_one_request_and_then_more',
    ),
    Switch(
        'hosts return together',
        BACKOFFS,
        'share = order.index(self._host) / len(order)',
        'share = 0',
        f'{UNITS}::test_hosts_return_one_after_another',
    ),
    Switch(
        'callers return in any order',
        SERVING + 'retry_schedule.py',
        'step = (1.0 + RETRY_JITTER) ** min(urgency, MAX_URGENCY_STEPS)',
        'step = 1.0',
        f'{PERMITS}::test_callers_return_by_urgency',
    ),
    Switch(
        'calls wait where all engines rest',
        SERVING + 'placement.py',
        'if soonest_ms <= min(RECHECK_MS, left_ms):',
        'if True:',
        f'{INCIDENT}::test_chat_is_refused_when_all_engines_back_off',
    ),
    Switch(
        'calls refused where an engine is about to return',
        SERVING + 'placement.py',
        'if soonest_ms <= min(RECHECK_MS, left_ms):',
        'if not soonest_ms:',
        f'{INCIDENT}::test_chats_wait_for_an_engine_that_returns',
    ),
    Switch(
        'refusals spend retries',
        SERVING + 'local_server.py',
        'return error.backs_off',
        'return False',
        f'{INCIDENT}::test_backoff_refusal_spends_no_retry',
    ),
    Switch(
        'reports undo a leave',
        'wrenspoke/state/registry.py',
        'said = msgspec.structs.replace(said, leaving=True)',
        'pass',
        f'{REGISTRY}::test_leave_outlives_reports_that_call_an_endpoint_ready',
    ),
]
