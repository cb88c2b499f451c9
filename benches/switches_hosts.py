"""Rows of ``benches.switched_off``: hosts, agreement, serving, membership."""

from benches import switches

STATE = switches.STATE
DECISIONS = switches.DECISIONS
Switch = switches.Switch

SWITCHES = [
    Switch(
        'crash-vectors',
        STATE + 'registers.py',
        ('if vote.epochs[host] >= newest[host]'),
        ('if True'),
        ('tests/test_registers.py'),
    ),
    Switch(
        'restart votes without memory',
        STATE + 'registers.py',
        ('if issued_ms < self.trusted_since_ms:'),
        ('if False:'),
        ('tests/test_registers.py'),
    ),
    Switch(
        'no merge',
        STATE + 'registers.py',
        ('self._merge(key, issued_ms, theirs)'),
        ('pass'),
        ('tests/test_registers.py'),
    ),
    Switch(
        'restart votes without memory (processes)',
        STATE + 'registers.py',
        ('if issued_ms < self.trusted_since_ms:'),
        ('if False:'),
        (
            'tests/test_once.py::test_majority_restarted_together_does_not_run_it_again'
        ),
    ),
    Switch(
        'no recall',
        STATE + 'registers.py',
        ('self._merge(key, issued_ms, theirs)'),
        ('pass'),
        ('tests/test_once.py::test_restarted_hosts_forget_no_claim'),
    ),
    Switch(
        'claim always won',
        STATE + 'registers.py',
        ('    if not free and not refused_before:\n        return old\n'),
        (''),
        ('tests/test_once.py::test_racing_sends_run_once'),
    ),
    Switch(
        'residency check off',
        DECISIONS + 'serving/gateway.py',
        ('        if head.bound:\n            return head.home\n'),
        (
            '        if head.bound:\n'
            '            return ids.RegionId(self._host.region)\n'
        ),
        ('tests/test_path.py::test_chat_is_answered_whole'),
    ),
    Switch(
        'forwards again',
        DECISIONS + 'serving/gateway.py',
        ('        if head.forwarded:\n            return own\n'),
        (''),
        (
            'tests/test_regions.py::test_forwarded_request_is_never_'
            'forwarded_again'
        ),
    ),
    Switch(
        'hop check off',
        DECISIONS + 'serving/dispatch.py',
        ('    if len(path) > MAX_HOPS:'),
        ('    return None\n    if len(path) > MAX_HOPS:'),
        ('tests/test_regions.py::test_loops_are_refused'),
    ),
    Switch(
        'client repeats',
        'wrenspoke/transport/web.py',
        ('middlewares=(_disable_retries,),'),
        (''),
        (
            'tests/test_endpoints.py::test_reused_connection_is_not_'
            'sent_on_twice'
        ),
    ),
    Switch(
        'follows redirects',
        'wrenspoke/transport/web.py',
        ('allow_redirects=False'),
        ('allow_redirects=True'),
        ('tests/test_endpoints.py -k redirects'),
    ),
    Switch(
        'crossed answers taken',
        DECISIONS + 'serving/dispatch.py',
        ('    if echoed == send.echo_id:\n        return True\n'),
        ('    return True\n'),
        ('tests/test_endpoints.py -k another'),
    ),
    Switch(
        'stop cuts off',
        'wrenspoke/entryd.py',
        ('    await daemon.drain(stop)\n'),
        (''),
        (
            'tests/test_leaving.py::test_planned_stop_of_a_host_cuts'
            '_nothing_off'
        ),
    ),
    Switch(
        'no resume',
        DECISIONS + 'serving/local_server.py',
        ('allowed = self.count < self._limit and'),
        ('allowed = False and'),
        ('tests/test_regions.py::test_stream_survives_its_engine'),
    ),
    Switch(
        'endpoint state check off',
        DECISIONS + 'membership/replica.py',
        (
            '            endpoint.state is'
            ' configuration.EndpointState.ACTIVE\n'
            '            and'
        ),
        ('            True and'),
        (
            'tests/test_leaving.py::test_drain_cuts_nothing_off_and_'
            'waits_for_it'
        ),
    ),
    Switch(
        'frozen host goes on',
        DECISIONS + 'serving/dispatch.py',
        ('if send.purpose in WORK and not context.configuration_current:'),
        ('if False:'),
        ('tests/test_dispatch.py::test_checks'),
    ),
    Switch(
        'list takes leaving back',
        DECISIONS + 'membership/host_list_poller.py',
        ('        changed = False\n'),
        ('        changed = False\n        self._replica.leaving.clear()\n'),
        ('tests/test_leaving.py::test_platform_list_only_ever_adds_leaving'),
    ),
    Switch(
        'old disk votes',
        DECISIONS + 'agreement/rollback_check.py',
        ('if answer.known_boot >= meta.boot:'),
        ('if False:'),
        ('tests/test_control.py::test_old_copy_of_a_disk_gets_no_vote'),
    ),
    Switch(
        'answers not kept',
        STATE + 'replicated.py',
        ('        found = kept.get(number)\n'),
        ('        found = None\n'),
        ('tests/test_control.py::test_same_number_gets_the_same_answer'),
    ),
    Switch(
        'confirm without compare',
        STATE + 'replicated.py',
        ('elif plan.base_index != state.configuration.index:'),
        ('elif False:'),
        ('tests/test_control.py::test_race_of_operators_has_one_winner'),
    ),
    Switch(
        'serves before it knows',
        DECISIONS + 'membership/configuration_puller.py',
        ('        held = serving or self._replica.served_before\n'),
        ('        held = True\n'),
        ('tests/test_control.py::test_configuration_never_goes_back'),
    ),
    Switch(
        'not run told after a loss',
        DECISIONS + 'serving/once.py',
        (
            '        if head.resend:\n'
            '            outcome = outcomes.Outcome.UNKNOWN\n'
        ),
        (''),
        ('tests/test_once.py::test_minority_side_of_a_cut_runs_nothing'),
    ),
    Switch(
        'no admission',
        DECISIONS + 'agreement/voter_planner.py',
        ('        electorate = self._leader_state.electorate\n'),
        ('        return None\n'),
        (
            'tests/test_control.py::test_lost_disk_is_readmitted_and'
            '_a_second_loss_loses_nothing'
        ),
    ),
    Switch(
        'log not read back',
        STATE + 'storage.py',
        ('        self._read_log()\n'),
        (''),
        ('tests/test_control.py::test_restarts_keep_every_accepted_change'),
    ),
    Switch(
        'truncate keeps the file',
        STATE + 'storage.py',
        ('        self._disk.truncate(LOG, size_bytes)\n        del'),
        ('        del'),
        ('tests/test_storage.py::TestStorage'),
    ),
    Switch(
        'folder not synced',
        STATE + 'disk.py',
        (
            '            if is_new:\n'
            '                self._sync_folder(self._folder)\n'
        ),
        (''),
        ('tests/test_storage.py::test_folder_is_synced_after_a_name_is_made'),
    ),
    Switch(
        'goes on after a failed sync',
        STATE + 'disk.py',
        (
            "            self._failure = f'{name}: {error}'\n"
            '            raise errors.DiskError(self._failure) from'
            ' error'
        ),
        ('            raise errors.DiskError(str(error)) from error'),
        ('tests/test_storage.py::test_failed_sync_stops_the_voter'),
    ),
    Switch(
        'cut home waits',
        DECISIONS + 'serving/forwarding.py',
        ('await self._reach.reachable('),
        ('list('),
        (
            'tests/test_regions.py::test_partitioned_region_serves_locally_and_fails_fast'
        ),
    ),
    Switch(
        'budget off',
        DECISIONS + 'serving/retry_budget.py',
        ('        if self._tokens < 1:'),
        ('        if False:'),
        ('tests/test_endpoints.py::test_retries_stay_within_their_budget'),
    ),
    Switch(
        'lease not looked at',
        DECISIONS + 'agreement/execution.py',
        (
            '        if not self._voter.has_lease:\n'
            '            raise errors.NotLeaderError(None,'
            ' may_be_accepted=False)\n'
            '\n'
            '    async def _poll_pause'
        ),
        ('        return\n\n    async def _poll_pause'),
        (
            'tests/test_execution.py::test_lease_lost_after_the_numb'
            'er_was_committed'
        ),
    ),
    Switch(
        'host may pose as another',
        'wrenspoke/transport/links.py',
        ('        if self._identity.has_keys and envelope.sender != host:'),
        ('        if False:'),
        ('tests/test_control.py::test_invalid_envelopes_are_refused'),
    ),
    Switch(
        'stale messages taken',
        'wrenspoke/transport/links.py',
        ('        if self._age_ms(envelope) > envelope.good_for_ms:'),
        ('        if False:'),
        ('tests/test_control.py::test_invalid_envelopes_are_refused'),
    ),
    Switch(
        'message that comes as another is sent stays unread',
        'wrenspoke/transport/sockets.py',
        ('        if events & POLLIN:\n            self._schedule()'),
        ('        if False:\n            self._schedule()'),
        ('tests/test_sockets.py::test_send_leaves_no_answer_unread'),
    ),
    Switch(
        'call that waits for a host is never sent',
        'wrenspoke/transport/sockets.py',
        ('        for waiter in self._waiters:'),
        ('        for waiter in []:'),
        ('tests/test_sockets.py::test_call_waits_for_a_host_that_starts'),
    ),
    Switch(
        'send waits inside pyzmq',
        'wrenspoke/transport/sockets.py',
        ('        self._sock.send(message, NOBLOCK)'),
        ('        self._sock.setsockopt(zmq.SNDTIMEO, 20_000)\n'
         '        self._sock.send(message)'),
        ('tests/test_links.py::test_waiting_call_holds_nothing_else_back'),
    ),
    Switch(
        'leases not counted',
        DECISIONS + 'serving/team_rate_limits.py',
        ('min(fair_share, total_per_s - leased)'),
        ('fair_share'),
        (
            'tests/test_team_rate_limits.py::test_leases_never_add_up_to_more_'
            'than_the_whole'
        ),
    ),
    Switch(
        'cut short passed as whole',
        DECISIONS + 'serving/streams.py',
        (
            '            if event is None:\n'
            "                raise errors.MaybeSentError('stream"
            " ended early')"
        ),
        (
            '            if event is None:\n'
            '                transcript.finished = True\n'
            '                return'
        ),
        ('tests/test_endpoints.py::test_broken_stream_is_resumed'),
    ),
    Switch(
        'endless answers taken',
        'wrenspoke/transport/web.py',
        (
            '    except (aiohttp.ClientError, OSError) as error:\n'
            "        raise errors.MaybeSentError('answer was cut"
            " short') from error\n"
            "    return b''.join(chunks)"
        ),
        (
            '    except (aiohttp.ClientError, OSError):\n'
            '        pass\n'
            "    return b''.join(chunks)"
        ),
        ('tests/test_endpoints.py -k cuts'),
    ),
    Switch(
        'away only when allowed',
        DECISIONS + 'serving/gateway.py',
        (
            '        if head.bound or head.once or head.forwarded:\n'
            '            return None\n'
        ),
        (''),
        (
            'tests/test_regions.py::test_unbound_work_leaves_a_region_without_engines'
        ),
    ),
    Switch(
        'not leaving home',
        DECISIONS + 'serving/gateway.py',
        ('        if ending.reason not in FAILOVER_REASONS:'),
        ('        if True:'),
        (
            'tests/test_regions.py::test_unbound_work_leaves_a_region_without_engines'
        ),
    ),
    Switch(
        'index may go back',
        DECISIONS + 'membership/replica.py',
        (
            '        if delta.index <= self.current.index:\n'
            '            return False'
        ),
        ('        if False:\n            return False'),
        ('tests/test_replica.py'),
    ),
    Switch(
        'torn end kept',
        STATE + 'records.py',
        ('        if _has_record_after(data, offset):'),
        ('        if False:'),
        (
            'tests/test_storage.py::test_damage_in_the_middle_is_reported_with_offset'
        ),
    ),
    Switch(
        'io_uring',
        'wrenspoke/runtime.py',
        ("os.environ[URING_VARIABLE] = '0'"),
        ("os.environ[URING_VARIABLE] = '1'"),
        ('tests/test_path.py::test_no_daemon_uses_io_uring'),
    ),
    Switch(
        'cold endpoints used by every host',
        DECISIONS + 'serving/availability.py',
        ('            if not self.is_cold(found) or not self._pollers.is_owner_of(name):'),
        ('            if not self.is_cold(found):'),
        (
            'tests/test_far.py::test_cold_endpoint_is_used_by_one_host_at_its_pace'
        ),
    ),
    Switch(
        'slower host keeps a call',
        DECISIONS + 'serving/destinations.py',
        ('            raise BusyError(local.first_ms)\n'),
        ('            return\n'),
        (
            'tests/test_far.py::test_host_serves_what_is_passed_on_or_says_why_not'
        ),
    ),
    Switch(
        'once sent again after a loss',
        DECISIONS + 'serving/passthrough.py',
        ('        if not context.route.repeatable:'),
        ('        if False:'),
        ('tests/test_passing.py::test_broken_answer_is_never_passed_as_whole'),
    ),
    Switch(
        "another request's answer passed on",
        DECISIONS + 'serving/sending.py',
        ('        if echoed == call.request:'),
        ('        if True:'),
        ('tests/test_passing.py::test_broken_answer_is_never_passed_as_whole'),
    ),
    Switch(
        'reset hidden by an end of file',
        'wrenspoke/transport/exchange.py',
        ('        if found:\n            self._fail'),
        ('        if False:\n            self._fail'),
        ('tests/test_passing.py::test_reset_after_the_last_bytes_is_an_incomplete_body'),
    ),
    Switch(
        'own canvass counts as a leader heard',
        DECISIONS + 'agreement/voter.py',
        ('            self._election_attempt_ms = self.clock.mono_ms()'),
        (
            '            self._election_attempt_ms = self._leader_contact_ms = self.clock.mono_ms()'
        ),
        (
            'tests/test_founding.py::test_pre_candidate_may_still_vote_for_another'
        ),
    ),
    Switch(
        'voters stay where they are',
        DECISIONS + 'agreement/voter_planner.py',
        ('            or self._improve_spread(voters, follower_states)\n'),
        (''),
        ('tests/test_group_soak.py'),
    ),
    Switch(
        'a call keeps the homes of its arrival',
        DECISIONS + 'serving/passthrough.py',
        (
            '            context.permit = self._access_control.reauthorize(\n'
            '                context.call, context.permit\n'
            '            )\n'
        ),
        (''),
        (
            'tests/test_homes.py::test_homes_are_checked_again_once_connected'
        ),
    ),
    Switch(
        'homes not looked at as a body leaves',
        DECISIONS + 'serving/sending.py',
        (
            '        return self._access.may_enter_regions(\n'
            '            call, permit, destination.host, destination.regions\n'
            '        )\n'
        ),
        ('        return True\n'),
        (
            'tests/test_homes.py::test_homes_are_checked_again_once_connected'
        ),
    ),
    Switch(
        'own newest log says who may stand',
        DECISIONS + 'agreement/voter.py',
        ('or not self._may_lead:\n                continue'),
        ('or not self.is_voter:\n                continue'),
        (
            'tests/test_group.py::test_voter_removed_by_an_uncommitted_change_may_campaign'
        ),
    ),
    Switch(
        'two that ask at once both stand',
        DECISIONS + 'agreement/voter.py',
        ('            self._pre_vote_yielded = True\n'),
        ('            pass\n'),
        ('tests/test_group.py::test_concurrent_pre_votes_start_one_election'),
    ),
    Switch(
        'own log says who has a vote',
        DECISIONS + 'agreement/voter.py',
        ('        if not self.electorate.voters:\n'),
        ('        if not self.is_voter:\n'),
        (
            'tests/test_group.py::test_new_voter_votes_before_it_receives_its_admission'
        ),
    ),
    Switch(
        'one set decides while voters change',
        STATE + 'electorates.py',
        (
            '        return [found for found in (self.voters, self.before) if found]'
        ),
        ('        return [self.voters] if self.voters else []'),
        ('tests/test_electorates.py'),
    ),
    Switch(
        'stands after giving its vote',
        DECISIONS + 'agreement/voter.py',
        ('            if (self.term, self._leader_contact_ms) != before:'),
        ('            if False:'),
        (
            'tests/test_founding.py::test_host_that_voted_meanwhile_does_not_campaign'
        ),
    ),
    Switch(
        'committed entries not known after a restart',
        DECISIONS + 'agreement/voter.py',
        ('        self.commit(store.read_committed())\n'),
        (''),
        (
            'tests/test_founding.py::test_restart_of_all_keeps_accepted_routes'
        ),
    ),
    Switch(
        'same version with other words in force',
        STATE + 'replicated.py',
        (
            '    if offered.version == held.version and offered.digest != held.digest:'
        ),
        ('    if False:'),
        ('tests/test_routes.py::test_highest_version_prevails'),
    ),
    Switch(
        'late registration taken',
        STATE + 'registry.py',
        ('        elif said.number <= old.registration.number:'),
        ('        elif False:'),
        ('tests/test_registry.py::test_newer_number_prevails'),
    ),
    Switch(
        'a name that is gone is tried again',
        DECISIONS + 'membership/discovery_client.py',
        ('        if not self.registry.merge_registration(gone):'),
        ('        if True:'),
        (
            'tests/test_passing.py::test_misdirected_endpoint_is_deregistered'
        ),
    ),
    Switch(
        'calls served away from home',
        DECISIONS + 'serving/destinations.py',
        (
            '        if not context.route.allows(self._region):\n            return None\n'
        ),
        (''),
        ('tests/test_far.py::test_call_is_served_at_home'),
    ),
    Switch(
        'stopping host takes new calls',
        DECISIONS + 'serving/passthrough.py',
        ('        if self.closed:'),
        ('        if False:'),
        (
            'tests/test_passing.py::test_draining_host_refuses_new_and_completes_open_requests'
        ),
    ),
    Switch(
        'headers of the connection passed on',
        'wrenspoke/protocol/dialect.py',
        ('        dropped = self._stripped_headers | connection_options'),
        ('        dropped = self._stripped_headers'),
        (
            'tests/test_passing.py::test_gateway_headers_from_callers_are_dropped'
        ),
    ),
    Switch(
        'runs elsewhere not counted',
        DECISIONS + 'serving/attempts.py',
        ('            context.count_runs(answer.runs - 1)\n'),
        ('            pass\n'),
        ('tests/test_far.py::test_runs_elsewhere_count_against_the_attempts'),
    ),
    Switch(
        'turned back taken for run',
        DECISIONS + 'serving/passthrough.py',
        ('            reply.runs = 0\n'),
        ('            pass\n'),
        (
            'tests/test_far.py::test_busy_remote_host_is_not_counted_as_a_run'
        ),
    ),
    Switch(
        'start waits for a further answer',
        DECISIONS + 'membership/discovery_client.py',
        ('        if self._unconfirmed_start is None:\n'),
        ('        if False:\n'),
        ('tests/test_discovery_client.py::test_first_answer_decides_when_to_serve'),
    ),
    Switch(
        'stopped host serves without a word',
        DECISIONS + 'membership/discovery_client.py',
        ('            self._unconfirmed_start.cancel()\n'),
        ('            pass\n'),
        (
            'tests/test_discovery_client.py::test_host_that_was_stopped_serves_after_a_new_answer_only'
        ),
    ),
    Switch(
        'prompts taken over from nobody',
        DECISIONS + 'serving/sending.py',
        ('            fields.append((dialect.fetch_from, source.address))\n'),
        ('            pass\n'),
        ('tests/test_far.py::test_prompt_cache_is_fetched_from_its_holder'),
    ),
    Switch(
        'streams beside a long prompt cost nothing',
        DECISIONS + 'serving/costs.py',
        ('    return bounds.target_ms * late * harmed\n'),
        ('    return 0.0\n'),
        ('tests/test_costs.py'),
    ),
    Switch(
        'hopeless calls are sent',
        DECISIONS + 'serving/destinations.py',
        ('        if context.send_count or probability <= DEADLINE_MISS_LIMIT:\n'),
        ('        if True:\n'),
        ('tests/test_far.py'),
    ),
    Switch(
        'no way by a third region',
        DECISIONS + 'serving/destinations.py',
        ('                host = self._find_relay_host(context, region)\n'),
        ('                pass\n'),
        ('tests/test_far.py'),
    ),
    Switch(
        'endpoints taken back are not asked',
        DECISIONS + 'serving/availability.py',
        ('        if warm_ms is not None:\n'),
        ('        if False:\n'),
        ('tests/test_passing.py'),
    ),
    Switch(
        'who registers last has the address',
        DECISIONS + 'membership/registrar.py',
        ('        if occupant is not None:\n'),
        ('        if False:\n'),
        ('tests/test_adapter.py'),
    ),
    Switch(
        'renewals are told by all who know them',
        DECISIONS + 'membership/control_sync.py',
        ('        recent_contacts = {*progress.recent_contacts, host}\n'),
        ('        recent_contacts = set()\n'),
        (
            'tests/test_membership_fleet.py::test_control_hosts_tell_renewals_in_a_few_bytes_each'
        ),
    ),
    Switch(
        'nobody passes on what another hears',
        DECISIONS + 'membership/control_sync.py',
        ('        and found.relayed_by not in recent_contacts\n'),
        ('        and found.relayed_by is None\n'),
        (
            'tests/test_membership_fleet.py::test_what_a_control_host_hears_reaches_those_that_it_is_cut_off_from'
        ),
    ),
    Switch(
        'restarted control host is told changes only',
        DECISIONS + 'membership/control_sync.py',
        ("        if answer.unknown or progress.instance_id not in ('', answer.life):\n"),
        ('        if False:\n'),
        (
            'tests/test_membership_fleet.py::test_control_host_that_restarts_is_told_all_again'
        ),
    ),
    Switch(
        'session stays where no leader is heard',
        DECISIONS + 'membership/discovery_client.py',
        ('            elif self._is_leaderless(session):\n'),
        ('            elif False:\n'),
        (
            'tests/test_membership_fleet.py::test_one_session_leaves_control_hosts_that_hear_no_leader'
        ),
    ),
    Switch(
        'what was given up is tried at once',
        DECISIONS + 'membership/discovery_client.py',
        ('        return failed_ms if age_ms < FAILED_HOST_TTL_MS else 0\n'),
        ('        return 0\n'),
        (
            'tests/test_membership_fleet.py::test_hosts_whose_region_lost_its_control_hosts_stay_elsewhere'
        ),
    ),
    Switch(
        'every host pings other regions',
        DECISIONS + 'membership/remote_hosts.py',
        ('            if is_poller or not self._views.has_view(region)\n'),
        ('            if True\n'),
        (
            'tests/test_region_pollers.py::test_hosts_elsewhere_are_pinged_by_a_few_for_all'
        ),
    ),
    Switch(
        'share of a lost host is lost',
        DECISIONS + 'membership/region_pollers.py',
        (
            '            if await self._peers.send_oneway(host, sent):\n                return\n'
        ),
        (
            '            await self._peers.send_oneway(host, sent)\n            return\n'
        ),
        (
            'tests/test_region_pollers.py::test_host_that_is_lost_keeps_nothing_from_others'
        ),
    ),
    Switch(
        'nobody asks for an asking host',
        DECISIONS + 'membership/engine_loads.py',
        ('            if place == 0 or self._is_overdue(found, place):\n'),
        ('            if place == 0:\n'),
        (
            'tests/test_engine_loads.py::test_next_in_order_asks_where_no_report_comes'
        ),
    ),
    Switch(
        'silent engines are used',
        DECISIONS + 'membership/engine_loads.py',
        ('        return fresh >= MIN_FRESH_SHARE * len(engines)\n'),
        ('        return False\n'),
        ('tests/test_engine_loads.py'),
    ),
    Switch(
        'all tables of a day are kept',
        DECISIONS + 'membership/replica.py',
        ('        if isinstance(change, configuration.SetRoutes):\n'),
        ('        if False:\n'),
        ('tests/test_replica.py'),
    ),
    Switch(
        'silence counts from long ago',
        DECISIONS + 'membership/host_pinger.py',
        ('            silence_ms = self._clock.mono_ms() - last_answer_ms\n'),
        (
            '            silence_ms = self._clock.mono_ms() - (remote.answered_ms or 0)\n'
        ),
        ('tests/test_host_pinger.py'),
    ),
    Switch(
        'parts of a repeat are rounded away',
        DECISIONS + 'serving/shared_retry_budget.py',
        ('            part += order.index(self._host) < remainder\n'),
        ('            pass\n'),
        ('tests/test_spending.py'),
    ),
]
