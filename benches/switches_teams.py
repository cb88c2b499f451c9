"""Rows of ``benches.switched_off``: keys, limits, founding, connections."""

from benches import switches

STATE = switches.STATE
DECISIONS = switches.DECISIONS
Switch = switches.Switch

SWITCHES = [
    Switch(
        'key shown to endpoints',
        DECISIONS + 'serving/sending.py',
        ('        fields += self._identity_fields(call, permit)\n'),
        ('        fields += call.credentials\n'),
        (
            'tests/test_keys.py::test_endpoint_gets_the_team_and_never_the_key'
        ),
    ),
    Switch(
        'unknown keys served',
        DECISIONS + 'serving/access.py',
        (
            "        if team is None:\n            raise errors.UnknownKeyError('no team holds this key')\n"
        ),
        ('        if team is None:\n            return Permit(route)\n'),
        (
            'tests/test_keys.py::test_endpoint_gets_the_team_and_never_the_key'
        ),
    ),
    Switch(
        'homes of teams bind nothing',
        DECISIONS + 'serving/access.py',
        (
            '            route.restricted_to(team.homes), team, urgency=urgency\n'
        ),
        ('            route, team, urgency=urgency\n'),
        ('tests/test_keys.py::test_homes_of_team_and_route_both_bind'),
    ),
    Switch(
        'team not looked at as a body leaves',
        DECISIONS + 'serving/access.py',
        ('        if _team_id(current.team) != _team_id(permit.team):\n'),
        ('        if False:\n'),
        ('tests/test_keys.py::test_key_counts_as_its_body_leaves'),
    ),
    Switch(
        'lease not looked at as a body leaves',
        DECISIONS + 'serving/access.py',
        ('        if not self._lease.held:\n            raise'),
        ('        if False:\n            raise'),
        (
            'tests/test_keys.py::test_lease_that_ends_while_a_connection_is_made_sends_nothing'
        ),
    ),
    Switch(
        'lease counted from the answer',
        DECISIONS + 'membership/discovery_client.py',
        ('        self.lease.confirm(asked_ms + answer.held_ms - age_ms)\n'),
        ('        self.lease.confirm(self._clock.mono_ms())\n'),
        (
            'tests/test_discovery_client.py::test_lease_counts_from_what_an_answer_proves'
        ),
    ),
    Switch(
        'moment of another life confirmed',
        DECISIONS + 'agreement/voter.py',
        ('        if moment is None or moment.life != self._instance_id:\n'),
        ('        if moment is None:\n'),
        (
            'tests/test_group.py::test_follower_confirms_only_moments_of_its_own_instance'
        ),
    ),
    Switch(
        'moment confirmed before what it covers',
        DECISIONS + 'agreement/voter.py',
        ('        if self.commit_index >= message.commit:\n'),
        ('        if True:\n'),
        (
            'tests/test_group.py::test_follower_confirms_what_it_has_applied_only'
        ),
    ),
    Switch(
        'leader without a lease confirms',
        DECISIONS + 'agreement/leadership.py',
        ('            follower.moment if self.has_lease else None,\n'),
        ('            follower.moment,\n'),
        ('tests/test_group.py::test_leader_without_a_lease_confirms_nothing'),
    ),
    Switch(
        'teams may share a key',
        STATE + 'teams.py',
        ('            if holder != team.team:\n'),
        ('            if False:\n'),
        ('tests/test_keys.py::test_teams_that_are_wrong_are_named'),
    ),
    Switch(
        'late word of a life that ended taken',
        STATE + 'registry.py',
        (
            '        if old is not None and said.born_ms < old.registration.born_ms:\n            return False\n'
        ),
        (''),
        ('tests/test_registry.py::test_birth_orders_before_numbers'),
    ),
    Switch(
        'leave ends another life',
        STATE + 'registry.py',
        (
            '        if old is not None and born_ms not in (None, old.registration.born_ms):\n'
        ),
        ('        if False:\n'),
        ('tests/test_registry.py::test_leave_that_names_a_life_ends_no_other'),
    ),
    Switch(
        'lower share counts at once',
        DECISIONS + 'limiting/allocator.py',
        ('            max(share, held), request.wanted,'),
        ('            share, request.wanted,'),
        (
            'tests/test_team_limits.py::test_lowered_share_stays_allocated_until_acknowledged'
        ),
    ),
    Switch(
        'silent lender is forgotten at once',
        DECISIONS + 'limiting/allocator.py',
        ('            if lease.until_ms <= now_ms:\n'),
        ('            if lease.until_ms <= now_ms + LEASE_KEPT_MS:\n'),
        (
            'tests/test_team_limits.py::test_unresponsive_holder_keeps_its_share_until_lease_expiry'
        ),
    ),
    Switch(
        'new leader parts the whole',
        DECISIONS + 'limiting/allocator.py',
        ('        allocatable = 1.0 if settled else min(self._reported, 1.0)\n'),
        ('        allocatable = 1.0\n'),
        (
            'tests/test_team_limits.py::test_new_leader_allocates_only_reported_shares'
        ),
    ),
    Switch(
        'given back twice',
        DECISIONS + 'limiting/limiter.py',
        ('        if reservation is None or reservation.refunded:\n'),
        ('        if reservation is None:\n'),
        ('tests/test_team_limits.py::test_reservation_is_refunded_once'),
    ),
    Switch(
        'connection cancelled as it is made',
        'wrenspoke/transport/connector.py',
        ('                return await asyncio.shield(making)\n'),
        ('                return await making\n'),
        (
            'tests/test_connecting.py::test_cancelled_connect_closes_descriptor_once'
        ),
    ),
    Switch(
        'request without a body not looked at again',
        'wrenspoke/transport/connector.py',
        ('        if may_send is not None and not may_send():\n'),
        ('        if False:\n'),
        (
            'tests/test_keys.py::test_lease_that_ends_while_a_connection_is_made_sends_nothing'
        ),
    ),
    Switch(
        'new leader waits for nobody',
        DECISIONS + 'limiting/allocator.py',
        (
            '        if all(\n'
            '            host in self._last_seen_ms\n'
            '            for host in self._local_voter.state.lenders\n'
            '        ):\n'
        ),
        ('        if True:\n'),
        (
            'tests/test_team_limits.py::test_new_leader_waits_for_lease_of_unresponsive_holder'
        ),
    ),
    Switch(
        'granted before a lender is noted',
        DECISIONS + 'limiting/allocator.py',
        ('        if message.shares and not await self._ensure_registered(holder):\n'),
        ('        if False:\n'),
        (
            'tests/test_team_limits.py::test_holder_is_replicated_before_its_first_grant'
        ),
    ),
    Switch(
        'calls of others are not heard',
        DECISIONS + 'serving/backlog.py',
        ('        if not self.has_peer_reports:\n'),
        ('        if True:\n'),
        ('tests/test_crowds.py'),
    ),
]
