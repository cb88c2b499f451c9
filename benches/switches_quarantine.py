"""Rows of ``benches.switched_off``: crash quarantine and suspension."""

from benches import switches

DECISIONS = switches.DECISIONS
QUARANTINE = DECISIONS + 'quarantine/'
Switch = switches.Switch
FLEET = 'tests/test_quarantined_fleet.py'
UNITS = 'tests/test_quarantine.py'
PARTS = 'tests/test_part_fleet.py'

SWITCHES = [
    Switch(
        'broken connections count as ends',
        QUARANTINE + 'guard.py',
        'if not await self._run_tracker.check_crashed(run):',
        'if await self._run_tracker.check_crashed(run) is None:',
        f'{UNITS}::test_request_is_held_after_three_crashes',
    ),
    Switch(
        'ends that were told beforehand count',
        QUARANTINE + 'guard.py',
        'if suspects and not self._is_draining(run.endpoint):',
        'if suspects:',
        f'{UNITS}::test_request_is_held_after_three_crashes',
    ),
    Switch(
        'good ends at the same host forgotten',
        QUARANTINE + 'guard.py',
        'if not request or self._recent_successes.has_recent(request):',
        'if not request:',
        f'{UNITS}::test_success_clears_recorded_crashes',
    ),
    Switch(
        'good ends at other hosts not asked for',
        QUARANTINE + 'recent_successes.py',
        'return [digest for digest in digests if self.has_recent(digest)]',
        'return []',
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
        'if abs(crash.crashed_ms - crashed_ms) <= DEDUP_WINDOW_MS:',
        'if False:',
        f'{UNITS}::test_crash_is_counted_once',
    ),
    Switch(
        'floods push out what ended more than one',
        QUARANTINE + 'crash_history.py',
        'entries, limit = self._single_crashes, MAX_SINGLE_CRASH_ENTRIES',
        'entries, limit = self._repeated_crashes, MAX_REPEATED_CRASH_ENTRIES',
        f'{UNITS}::test_single_crash_entries_do_not_evict_repeated_ones',
    ),
    Switch(
        'nobody told by control hosts',
        QUARANTINE + 'crash_aggregator.py',
        '[self._make_hold(digest) for digest in culprits],',
        '[],',
        f'{FLEET}::test_isolated_region_holds_request',
    ),
    Switch(
        'nobody told again',
        QUARANTINE + 'crash_aggregator.py',
        'now_ms - held.notified_ms < RENOTIFY_INTERVAL_MS',
        'True',
        f'{FLEET}::test_long_isolated_region_retries_request_once_a_minute',
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
        'wrenspoke/state/quarantine.py',
        'return 0 if decided is None else decided.ends',
        'return 0',
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
        'if hold is not None:',
        'if False:',
        f'{UNITS}::test_host_that_starts_holds_what_was_decided',
    ),
    Switch(
        'passed-through bodies leave unasked',
        DECISIONS + 'serving/sending.py',
        'if self._guard.remaining_hold_ms(call.fingerprint) is not None:',
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
        'parts of prompts not counted',
        QUARANTINE + 'guard.py',
        'return (request, *suspects[:MAX_REPORTED_PARTS])',
        'return (request,)',
        f'{PARTS}::test_fatal_part_alone_is_held',
    ),
    Switch(
        'entry hosts not asked what completed',
        QUARANTINE + 'crash_aggregator.py',
        '            self._find_successes(asked), self._clock.sleep_ms(SETTLE_MS)',
        '            self._clock.sleep_ms(SETTLE_MS)',
        f'{FLEET}::test_content_that_completed_elsewhere_is_held_nowhere',
    ),
    Switch(
        'culprits explain nothing',
        QUARANTINE + 'crash_history.py',
        'if culprit != digest and crash.is_in_flight(culprit)',
        'if False',
        f'{PARTS}::test_culprit_explains_crashes',
    ),
    Switch(
        'ties of different requests not waited for',
        QUARANTINE + 'crash_history.py',
        'return list(found) if highest >= TIE_CRASH_THRESHOLD else []',
        'return list(found)',
        f'{PARTS}::test_culprit_is_what_had_the_most_crashes',
    ),
    Switch(
        'an end of the connection is a whole answer',
        QUARANTINE + 'guard.py',
        'if framing is web.BodyFraming.CONNECTION:',
        'if False:',
        'tests/test_fatal_parts.py::test_crash_that_looks_like_an_answer'
        '_counts',
    ),
    Switch(
        'trials at all hosts',
        QUARANTINE + 'crash_aggregator.py',
        'return quarantining.RequestTrialReply(request == message.request)',
        'return quarantining.RequestTrialReply(True)',
        f'{FLEET}::test_failed_trial_doubles_the_hold',
    ),
    Switch(
        'time stands still with the machine',
        'wrenspoke/clock.py',
        'time.clock_gettime_ns(time.CLOCK_BOOTTIME)',
        'time.monotonic_ns()',
        'tests/test_suspended.py',
    ),
]
