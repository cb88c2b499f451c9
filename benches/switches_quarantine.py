"""Rows of ``benches.switched_off``: crash quarantine and suspension."""

from benches import switches

DECISIONS = switches.DECISIONS
QUARANTINE = DECISIONS + 'quarantine/'
Switch = switches.Switch
FLEET = 'tests/test_quarantined_fleet.py'
UNITS = 'tests/test_quarantine.py'

SWITCHES = [
    Switch(
        'broken connections count as ends',
        QUARANTINE + 'guard.py',
        'if not await self._run_tracker.check_crashed(run) or not run.digest:',
        'if not run.digest:',
        f'{UNITS}::test_request_is_held_after_three_crashes',
    ),
    Switch(
        'ends that were told beforehand count',
        QUARANTINE + 'guard.py',
        'if self._recent_successes.has_recent(run.digest) or self._is_draining(\n'
        '            run.endpoint\n        ):',
        'if self._recent_successes.has_recent(run.digest):',
        f'{UNITS}::test_request_is_held_after_three_crashes',
    ),
    Switch(
        'good ends at the same host forgotten',
        QUARANTINE + 'guard.py',
        'if self._recent_successes.has_recent(run.digest) or self._is_draining(\n'
        '            run.endpoint\n        ):',
        'if self._is_draining(run.endpoint):',
        f'{UNITS}::test_success_clears_recorded_crashes',
    ),
    Switch(
        'good ends at other hosts not asked for',
        QUARANTINE + 'guard.py',
        'if self._recent_successes.has_recent(hold.digest)\n            ]',
        'if False\n            ]',
        f'{FLEET}::test_request_that_succeeds_elsewhere_is_released',
    ),
    Switch(
        'a look for each run',
        QUARANTINE + 'run_tracker.py',
        'if result is None or not result.is_reusable(now_ms):',
        'if True:',
        f'{UNITS}::test_one_probe_serves_all_runs_of_an_endpoint',
    ),
    Switch(
        'an endpoint that lived is taken to live on',
        QUARANTINE + 'run_tracker.py',
        'return not self.refused.done() or self.refused.result()',
        'return True',
        f'{UNITS}::test_live_endpoint_is_probed_again',
    ),
    Switch(
        'an end counts for each host that tells it',
        QUARANTINE + 'crash_history.py',
        'if any(_is_duplicate(end, endpoint, crashed_ms) for end in crashes):',
        'if False:',
        f'{UNITS}::test_crash_is_counted_once',
    ),
    Switch(
        'floods push out what ended more than one',
        QUARANTINE + 'crash_history.py',
        'entries, limit = self._single_crashes, MAX_SINGLE_CRASH_ENTRIES',
        'entries, limit = self._repeated_crashes, MAX_REPEATED_CRASH_ENTRIES',
        f'{UNITS}::test_single_crash_entries_do_not_evict_repeated'
        '_ones',
    ),
    Switch(
        'nobody told by control hosts',
        QUARANTINE + 'crash_aggregator.py',
        '            self._tasks.start(self._notify_entry_hosts(new_holds), fatal=False)\n',
        '',
        f'{FLEET}::test_isolated_region_holds_request',
    ),
    Switch(
        'nobody told again',
        QUARANTINE + 'crash_aggregator.py',
        'now_ms - notified_ms < RENOTIFY_INTERVAL_MS',
        'True',
        f'{FLEET}::test_long_isolated_region_retries_request_once_a'
        '_minute',
    ),
    Switch(
        'nothing decided',
        QUARANTINE + 'crash_aggregator.py',
        'if not self._local_voter.has_lease or self._proposing:',
        'if True:',
        f'{FLEET}::test_every_host_holds_request_within_half_a_second',
    ),
    Switch(
        'nothing decided (series)',
        QUARANTINE + 'crash_aggregator.py',
        'if not self._local_voter.has_lease or self._proposing:',
        'if True:',
        f'{FLEET}::test_few_requests_are_sent_late_under_faults',
    ),
    Switch(
        'what could not be told is dropped',
        QUARANTINE + 'crash_reporter.py',
        '            queue.crashes.extendleft(reversed(crashes))\n',
        '',
        f'{FLEET}::test_crashes_on_both_sides_of_a_partition_add_up',
    ),
    Switch(
        'control hosts that start are told nothing again',
        QUARANTINE + 'crash_reporter.py',
        'if answer.life != queue.instance_id:',
        'if False:',
        f'{FLEET}::test_crashes_are_reported_again_to_restarted_control_host',
    ),
    Switch(
        'no trials',
        QUARANTINE + 'crash_aggregator.py',
        'decisions += self._due_for_probation(now_ms)',
        'pass',
        f'{FLEET}::test_successful_trial_ends_quarantine',
    ),
    Switch(
        'trials begin at nothing',
        QUARANTINE + 'crash_aggregator.py',
        'earlier_crashes = 0 if decided is None else decided.ends',
        'earlier_crashes = 0',
        f'{FLEET}::test_failed_trial_doubles_the_hold',
    ),
    Switch(
        'holds stay after an operator ended them',
        QUARANTINE + 'crash_aggregator.py',
        '            self._tasks.start(\n'
        '                self._notify_entry_hosts([], released), fatal=False\n'
        '            )\n',
        '            pass\n',
        f'{UNITS}::test_chat_is_served_again_once_an_operator_clears_it',
    ),
    Switch(
        'passed-through calls do not ask',
        DECISIONS + 'serving/passthrough.py',
        'if held_ms is not None:',
        'if False:',
        f'{UNITS}::test_host_that_starts_holds_what_was_decided',
    ),
    Switch(
        'passed-through bodies leave unasked',
        DECISIONS + 'serving/sending.py',
        'if self._guard.remaining_hold_ms(call.digest) is not None:',
        'if False:',
        f'{UNITS}::test_hold_received_while_connecting_prevents_send',
    ),
    Switch(
        'chats do not ask',
        DECISIONS + 'serving/dispatch.py',
        'if send.purpose in WORK and context.quarantined_ms is not None:',
        'if False:',
        'tests/test_dispatch.py',
    ),
    Switch(
        'chats leave unasked',
        DECISIONS + 'serving/dispatch.py',
        'may_send=lambda: self._may_send(send, send_permit),',
        'may_send=None,',
        f'{UNITS}::test_chat_that_waits_for_a_connection_is_held_back',
    ),
    Switch(
        'time stands still with the machine',
        'wrenspoke/clock.py',
        'time.clock_gettime_ns(time.CLOCK_BOOTTIME)',
        'time.monotonic_ns()',
        'tests/test_suspended.py',
    ),
]
