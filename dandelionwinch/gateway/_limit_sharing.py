"""Shares the rate limits of upstreams with the other instances.

An instance that hears of a limit tells the others. The instances agree, by
rendezvous hashing, on the one that grants the shares of an upstream's limit.
One that gets no answer from it uses an even part.
"""

import functools

import attrs

from dandelionwinch.gateway import _granting_instances
from dandelionwinch.gateway import _limit_link
from dandelionwinch import ratelimits
from dandelionwinch import upstreams

# Interval of the periodic work while limits are in force, and otherwise.
TICK_S = 0.1
IDLE_TICK_S = 1.0
# Time for which the answer to a request for a share is awaited, and how many
# may be missing before an even part is used, for how long.
ANSWER_TIMEOUT_S = 0.3
MAX_UNANSWERED = 2
EVEN_PART_S = 1.0
# Demand below which no share is asked for.
MIN_DEMAND_PER_S = 0.01
# Change of a limit, as a part of it, of which the others are told.
TOLD_CHANGE_RATIO = 0.1
# Change of a share that is logged, and the least time between two such lines.
LOGGED_SHARE_CHANGE = 0.1
SHARE_LOG_INTERVAL_S = 1.0
# Instances that are asked for what they know after a start or a pause, and the
# pause of the process after which they are asked.
ASKED_INSTANCES = 3
PAUSED_S = 3.0


@attrs.define
class _Limited:
    """An upstream that states a limit.

    Attributes:
        upstream: The Upstream.
        asked_at: Time of the last request for a share, None without one
            that awaits its answer.
        next_at: Time of the next one.
        unanswered: Requests without an answer since the last one.
        logged_share: Share in the last log line.
        logged_at: Time of the last log line.
    """

    upstream: upstreams.Upstream
    asked_at: float | None = None
    next_at: float = 0.0
    unanswered: int = 0
    logged_share: float = -1.0
    logged_at: float = float('-inf')


class LimitSharing:
    """The rate limits that one instance knows, and its shares of them.

    Args:
        loop: The event loop.
        fleet: Fleet.
        link: PeerLink.
        name: Name of the local instance.
        log: EventLog.
        metrics: Metrics.
        rng: Source of randomness.
    """

    __slots__ = (
        '_asked',
        '_fleet',
        '_granters',
        '_instances',
        '_limited',
        '_link',
        '_log',
        '_loop',
        '_metrics',
        '_name',
        '_pending',
        '_rng',
        '_tick_at',
        '_timer',
        '_told',
    )

    def __init__(self, loop, fleet, link, name, log, metrics, rng):
        self._loop = loop
        self._fleet = fleet
        self._link = _limit_link.LimitLink(loop, link, self)
        self._name = name
        self._log = log
        self._metrics = metrics
        self._rng = rng
        # By upstream id and digest of its incarnation: the _Limited, the
        # Granter where this instance grants the shares, and the limit that
        # the others were told of last.
        self._limited = {}
        self._granters = {}
        self._told = {}
        # Notices to the others that wait, by the same key.
        self._pending = {}
        self._instances = _granting_instances.GrantingInstances(
            self._link, name, fleet
        )
        self._asked = False
        self._tick_at = None
        self._timer = None

    def start(self):
        """Starts the periodic exchange with other instances."""
        self._tick()

    def close(self):
        """Stops it."""
        if self._timer is not None:
            self._timer.cancel()

    def observe(self, upstream, rate_per_s):
        """Takes in what a response to this instance states.

        Args:
            upstream: The Upstream.
            rate_per_s: Its limit in requests a second, None without one.
        """
        statement = upstream.rate_limit.statement.observed(
            rate_per_s, self._loop.time()
        )
        if not upstream.rate_limit.in_force and statement.rate_per_s is None:
            upstream.rate_limit.statement = statement
            return
        key = _granting_instances.key_of(upstream)
        self._apply(key, upstream, statement, 'own')
        if _differ(statement.rate_per_s, self._told.get(key)):
            self._tell_soon(key, statement.rate_per_s)

    def _apply(self, key, upstream, statement, source):
        """Takes over what an upstream states, whoever heard it."""
        now = self._loop.time()
        allowance = upstream.rate_limit
        before = allowance.statement.rate_per_s
        if not allowance.update(statement, now):
            return
        if allowance.in_force and before is None:
            limited = self._limited[key] = _Limited(upstream, next_at=now)
            self._ask_if_due(key, limited, now)
            self._schedule_tick()
        elif not allowance.in_force:
            self._limited.pop(key, None)
            self._granters.pop(key, None)
        self._metrics.limited_upstreams.set(len(self._limited))
        self._log.event(
            'upstream.limited',
            upstream=upstream.entry.id,
            limit=statement.rate_per_s,
            before=before,
            age_s=round(now - statement.at, 3),
            share=round(allowance.share(now), 3),
            source=source,
        )

    def _tell_soon(self, key, rate_per_s):
        """Tells the others after a random time, unless another does."""
        self._told[key] = rate_per_s
        instances = 1 + len(self._link.peers)
        delay_s = upstreams.tell_delay_s(self._rng.random(), instances)
        self._forget_notice(key)
        self._pending[key] = self._loop.call_later(
            delay_s, functools.partial(self._tell, key)
        )

    def _forget_notice(self, key):
        notice = self._pending.pop(key, None)
        if notice is not None:
            notice.cancel()

    def _tell(self, key):
        del self._pending[key]
        upstream = self._find(key)
        if upstream is not None:
            self._link.send_notice(key, upstream.rate_limit.statement)
        if self._told[key] is None:
            del self._told[key]

    def _find(self, key):
        """Returns the Upstream of a key, None if it is not known or gone."""
        limited = self._limited.get(key)
        if limited is not None:
            upstream = limited.upstream
        else:
            upstream = self._fleet.registry.get(key[0])
            if upstream is None or _granting_instances.key_of(upstream) != key:
                return None
        return upstream if upstream.gone_at is None else None

    def take_notice(self, key, statement, sender):
        """Takes in what another instance has told all."""
        if not _differ(statement.rate_per_s, self._told.get(key)):
            self._forget_notice(key)
        self.take_statement(key, statement, sender)
        upstream = self._find(key)
        if upstream is not None and key not in self._pending:
            self._told[key] = upstream.rate_limit.statement.rate_per_s

    def take_statement(self, key, statement, sender):
        """Takes in what an upstream stated to another instance."""
        upstream = self._find(key)
        if upstream is None:
            return
        known = upstream.rate_limit.statement
        newest = known.followed_by(statement.rate_per_s, statement.at)
        if newest is not known:
            self._apply(key, upstream, newest, sender)

    def take_question(self, addr):
        """Tells an instance the limits that are known here."""
        for key, limited in self._limited.items():
            statement = limited.upstream.rate_limit.statement
            self._link.send_known(key, statement, addr)

    def take_request(self, key, req, addr):
        """Grants a share to another instance."""
        upstream = self._find(key)
        if upstream is None:
            return
        statement = upstream.rate_limit.statement
        if statement.rate_per_s is None:
            self._link.send_known(key, statement, addr)
            return
        grant = self._grant(key, upstream, req)
        self._link.send_grant(key, statement, grant, addr)

    def _grant(self, key, upstream, req):
        now = self._loop.time()
        if self._owner(key) != self._name:
            # The instances do not agree yet on who grants.
            return ratelimits.Grant(
                1.0 / self._instances.count(), EVEN_PART_S, ANSWER_TIMEOUT_S
            )
        granter = self._granters.get(key)
        if granter is None:
            granter = self._granters[key] = ratelimits.Granter(now)
        limit_per_s = upstream.rate_limit.limit_per_s()
        return granter.grant(req, limit_per_s, self._instances.count(), now)

    def take_grant(self, key, grant, sender):
        """Takes over a share that another instance granted."""
        limited = self._limited.get(key)
        if limited is None or limited.asked_at is None:
            return
        limited.unanswered = 0
        self._use(limited, grant, limited.asked_at, sender)

    def _use(self, limited, grant, asked_at, source):
        """Uses a share from now on; its lease counts from the question."""
        now = self._loop.time()
        limited.asked_at = None
        limited.next_at = now + grant.next_s
        limited.upstream.rate_limit.grant(
            grant.share, asked_at + grant.lease_s, now
        )
        self._log_share(limited, grant.share, source, now)

    def _log_share(self, limited, share, source, now):
        if abs(share - limited.logged_share) < LOGGED_SHARE_CHANGE:
            return
        if now - limited.logged_at < SHARE_LOG_INTERVAL_S:
            return
        limited.logged_share = share
        limited.logged_at = now
        statement = limited.upstream.rate_limit.statement
        self._log.event(
            'upstream.share',
            upstream=limited.upstream.entry.id,
            limit=statement.rate_per_s,
            age_s=round(now - statement.at, 3),
            share=round(share, 3),
            demand=round(limited.upstream.rate_limit.demand_per_s(now), 2),
            source=source,
        )

    def _owner(self, key):
        """Returns the name of the instance that grants the shares."""
        return self._instances.of(key)

    def _ask(self, key, limited, now):
        """Asks for a share; here if this instance grants them."""
        allowance = limited.upstream.rate_limit
        req = ratelimits.Request(
            self._name,
            allowance.demand_per_s(now),
            allowance.share(now),
            allowance.share_left_s(now),
        )
        owner = self._owner(key)
        if owner == self._name:
            grant = self._grant(key, limited.upstream, req)
            self._use(limited, grant, now, 'own')
            return
        limited.asked_at = now
        limited.next_at = now + ANSWER_TIMEOUT_S
        addr = self._link.peers[owner]
        self._link.send_request(key, allowance.statement, req, addr)

    def _ask_if_due(self, key, limited, now):
        if now < limited.next_at:
            return
        allowance = limited.upstream.rate_limit
        if limited.asked_at is not None:
            limited.unanswered += 1
        ends_soon = allowance.share_left_s(now) < 2 * ANSWER_TIMEOUT_S
        if limited.unanswered >= MAX_UNANSWERED and ends_soon:
            part = 1.0 / self._instances.count()
            allowance.grant(part, now + EVEN_PART_S, now)
            self._log_share(limited, part, 'even', now)
        if allowance.demand_per_s(now) >= MIN_DEMAND_PER_S:
            self._ask(key, limited, now)

    def _tick(self):
        now = self._loop.time()
        if self._tick_at is not None and now - self._tick_at > PAUSED_S:
            self._asked = False
        self._tick_at = now
        if not self._asked and self._link.peers:
            self._asked = True
            self._link.ask_limits(self._sample(ASKED_INSTANCES))
        for key, limited in list(self._limited.items()):
            if limited.upstream.gone_at is not None:
                self._drop(key, now)
            else:
                self._ask_if_due(key, limited, now)
        self._schedule_tick()

    def _schedule_tick(self):
        self.close()
        interval_s = TICK_S if self._limited else IDLE_TICK_S
        self._timer = self._loop.call_later(interval_s, self._tick)

    def _drop(self, key, now):
        """Forgets the limit of an upstream that is gone."""
        allowance = self._limited.pop(key).upstream.rate_limit
        # It is not known to have ended, so no other may be told that.
        allowance.update(ratelimits.Statement(), now)
        self._granters.pop(key, None)
        self._told.pop(key, None)
        self._forget_notice(key)
        self._metrics.limited_upstreams.set(len(self._limited))

    def _sample(self, count):
        addresses = list(self._link.peers.values())
        return self._rng.sample(addresses, min(count, len(addresses)))


def _differ(rate_per_s, told):
    """Tells whether a limit, None for none, is news after another one."""
    if told is None or rate_per_s is None:
        return told != rate_per_s
    return abs(rate_per_s - told) > TOLD_CHANGE_RATIO * told
