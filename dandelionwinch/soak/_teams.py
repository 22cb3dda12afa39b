"""Keys of teams that are removed and added during a soak, and their checks.

An instance may use any configuration that the store held within the last
APPLY_S, including those that a restore of the store brought back.
"""

import asyncio
import math

import attrs

from dandelionwinch.platform import samples
from dandelionwinch.soak import _selection

TEAM_RUNS = 0.6
STRICT_RUNS = 0.5
TEAM_COUNT = 3
KEYS_PER_TEAM = 2
# Time between two changes of the keys.
MIN_PAUSE_S = 1.5
MAX_PAUSE_S = 5.0
# Time after a write within which it is in force everywhere.
APPLY_S = 4.0
# Longest time for which a signal stops an instance, and the time that it
# then needs to read what arrived meanwhile.
STOPPED_S = 4.0
CATCH_UP_S = 2.0
# Shares of the requests: without a key, with a key that no version held,
# with a removed key, and with a team that the caller names itself.
KEYLESS_SHARE = 0.01
UNKNOWN_SHARE = 0.03
REMOVED_SHARE = 0.04
FORGED_SHARE = 0.05
FORGED_TEAM = 'someone'
UNAUTHORIZED = 401


@attrs.frozen
class Plan:
    """The changes of keys of a run.

    Attributes:
        revoke_at_s: Times from the start of the traffic.
        strict: Whether instances out of contact refuse keys.
    """

    revoke_at_s: tuple
    strict: bool


# Teams whose keys stay.
UNCHANGED = Plan((), False)


def plan(seed, for_s):
    """Returns the Plan of a run, None in some of the runs.

    Args:
        seed: Seed of the run.
        for_s: Seconds for which faults are injected.
    """
    rng = _selection.draw(seed, 'teams', for_s, TEAM_RUNS)
    if rng is None:
        return None
    strict = rng.random() < STRICT_RUNS
    times = []
    at_s = rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    while at_s < for_s:
        times.append(at_s)
        at_s += rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
    return Plan(tuple(times), strict)


@attrs.define
class KeyUse:
    """A request with a key.

    Attributes:
        key: The key, '' for none.
        team: Team of the key, '' for a key that no version held.
        sent_at: Event loop time at which it was sent.
        answered_at: Event loop time of its end, infinite before.
        status: Status of its response, 0 for none.
    """

    key: str
    team: str
    sent_at: float
    answered_at: float = math.inf
    status: int = 0


@attrs.frozen
class _Content:
    """Keys that the store held from a time on."""

    since: float
    keys: frozenset


class Teams:
    """The teams of one soak, their keys, and the requests that used them.

    Args:
        rng: Random generator of the keys and of the requests.

    Attributes:
        uses: KeyUse by request id.
        contents: What the store held, in order of time.
    """

    __slots__ = (
        '_keys_of_value',
        '_last_number',
        '_removed',
        '_rng',
        '_team_of',
        'contents',
        'uses',
    )

    def __init__(self, rng):
        self._rng = rng
        self._last_number = 0
        self._removed = []
        # Team of each key in the last version, in the order of addition.
        self._team_of = {}
        self._keys_of_value = {}
        self.uses = {}
        self.contents = []
        for number in range(TEAM_COUNT):
            for _key in range(KEYS_PER_TEAM):
                self._add_key(f'team-{number}')

    def _add_key(self, team):
        self._last_number += 1
        secret = f'{self._rng.getrandbits(64):016x}'
        self._team_of[f'key-{self._last_number}-{secret}'] = team

    def change_keys(self):
        """Removes a key and adds one to its team; returns the team."""
        key = self._rng.choice(list(self._team_of))
        team = self._team_of.pop(key)
        self._removed.append((key, team))
        self._add_key(team)
        return team

    def rows(self):
        """Returns the teams of the next version, as in a configuration."""
        keys = {}
        for key, team in self._team_of.items():
            keys.setdefault(team, []).append(key)
        return [samples.team(name, *keys[name]) for name in sorted(keys)]

    def wrote(self, value, now):
        """Records that the last version was written to the store.

        Args:
            value: Bytes of the configuration.
            now: Event loop time.
        """
        self._keys_of_value[value] = frozenset(self._team_of)
        self.store_holds(value, now)

    def store_holds(self, value, now):
        """Records what the store holds, also after a restore."""
        keys = self._keys_of_value.get(value, frozenset())
        self.contents.append(_Content(now, keys))

    def headers(self, request_id, now, began_as=None):
        """Returns the headers of a request, as pairs.

        Args:
            request_id: Id of the request.
            now: Event loop time.
            began_as: Id of the request that began its stream, or None. Its
                team also takes the stream up.
        """
        key, team = self._choose()
        if began_as is not None and self.uses[began_as].team:
            key, team = self._key_of(self.uses[began_as].team)
        self.uses[request_id] = KeyUse(key, team, now)
        headers = [samples.key_header(key)] if key else []
        if self._rng.random() < FORGED_SHARE:
            headers.append((samples.TEAM, FORGED_TEAM))
        return headers

    def _choose(self):
        """Returns the key of a request and its team."""
        draw = self._rng.random()
        if draw < KEYLESS_SHARE:
            return '', ''
        draw -= KEYLESS_SHARE
        if draw < UNKNOWN_SHARE:
            return f'unknown-{self._rng.getrandbits(64):016x}', ''
        draw -= UNKNOWN_SHARE
        if draw < REMOVED_SHARE and self._removed:
            return self._rng.choice(self._removed)
        return self._rng.choice(list(self._team_of.items()))

    def _key_of(self, team):
        """Returns a key of a team in the last version, and the team."""
        pairs = [pair for pair in self._team_of.items() if pair[1] == team]
        return self._rng.choice(pairs)

    def answered(self, request_id, status, now):
        """Records the end of a request."""
        use = self.uses[request_id]
        use.status = status
        use.answered_at = now

    async def run(self, times, write, record_fault):
        """Changes keys at the times of a Plan.

        Args:
            times: Times in seconds from now.
            write: Function that writes the next version to the store.
            record_fault: Function of a fault and its target.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        for at_s in times:
            await asyncio.sleep(start + at_s - loop.time())
            record_fault('revoke', self.change_keys())
            write()

    def _held(self, start, end):
        """Returns the sets of keys that the store held in a period."""
        ends = [content.since for content in self.contents[1:]] + [math.inf]
        return [
            content.keys
            for content, until in zip(self.contents, ends, strict=True)
            if content.since <= end and until > start
        ]

    def _may_run(self, use, arrived_at):
        held = self._held(use.sent_at - APPLY_S, arrived_at)
        return any(use.key in keys for keys in held)

    def _must_be_accepted(self, use):
        held = self._held(use.sent_at - APPLY_S, use.answered_at)
        return all(use.key in keys for keys in held)

    def violations(self, arrivals, seen, sent_to, stops, logs):
        """Returns the descriptions of all violations.

        Args:
            arrivals: Upstream id, request id and time of each arrival.
            seen: Request id, named team and whether there was a key, of
                each request that arrived.
            sent_to: Frontend address by request id.
            stops: Frontend address and time of each stop by a signal.
            logs: Text by file name.
        """

        def stopped(request_id):
            sent_at = self.uses[request_id].sent_at
            return any(
                frontend == sent_to.get(request_id)
                and at <= sent_at <= at + STOPPED_S + CATCH_UP_S
                for frontend, at in stops
            )

        return [
            *self._ran_without_key(arrivals, stopped),
            *self._refused(arrivals, stopped),
            *self._seen_wrong(seen),
            *self._logged(logs),
        ]

    def _ran_without_key(self, arrivals, stopped):
        for upstream_id, request_id, at in arrivals:
            use = self.uses[request_id]
            if not use.team:
                yield f'{request_id}: ran at {upstream_id} without a valid key'
            elif not self._may_run(use, at) and not stopped(request_id):
                yield (
                    f'{request_id}: ran at {upstream_id} with a key of '
                    f'{use.team} that was removed before'
                )

    def _refused(self, arrivals, stopped):
        arrived = {request_id for _upstream, request_id, _at in arrivals}
        for request_id, use in self.uses.items():
            if use.status != UNAUTHORIZED:
                continue
            if request_id in arrived:
                yield f'{request_id}: {UNAUTHORIZED}, but it ran'
            if self._must_be_accepted(use) and not stopped(request_id):
                yield f'{request_id}: the valid key of {use.team} was refused'

    def _seen_wrong(self, seen):
        for request_id, team, has_key in seen:
            if has_key:
                yield f'{request_id}: an upstream got its key'
            if team != self.uses[request_id].team:
                yield f'{request_id}: an upstream got it as of team {team!r}'

    def _logged(self, logs):
        keys = {use.key for use in self.uses.values() if use.key}
        for name, text in logs.items():
            found = sum(key in text for key in keys)
            if found:
                yield f'{name}: has {found} keys'
