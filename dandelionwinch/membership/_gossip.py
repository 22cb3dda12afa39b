"""Heartbeats that spread by gossip, and the view that follows."""

import attrs

from dandelionwinch.peers import peer_pb2
from dandelionwinch import utils

FANOUT = 3
FANOUT_IN_LARGE_DATA_CENTRES = 2
LARGE_DATA_CENTRE = 16
SPEAKERS_PER_DATA_CENTRE = 2
CROSS_EVERY_BEATS = 4
FAR_PULSES = 16
FAR_PATIENCE = 5.0
BEAT_SLACK = 0.5


def member_id(name):
    """Returns the short identifier of an instance's name."""
    return utils.stable_hash('member', name)


@attrs.define
class PeerState:
    """What is known of one instance.

    Attributes:
        member: Name, data centre and addresses.
        heard_at: Time at which its heartbeat last advanced.
        leaves: Odd while it says that it is leaving; each change of
            mind raises the number.
        listed: Whether the platform's list has it; None before the
            list was read.
        listed_leaving: Whether the platform says that it is leaving.
        jobs: Jobs that it serves.
        revision: Configuration revision that it holds.
    """

    member: peer_pb2.Member
    beat: int = 0
    leaves: int = 0
    heartbeat_at: float = float('-inf')
    listed: bool | None = None
    listed_leaving: bool = False
    jobs: int = 0
    revision: int = 0

    @property
    def leaving(self):
        """Whether it takes no new work for long."""
        return self.leaves % 2 == 1 or self.listed_leaving

    @property
    def name(self):
        """Name of the instance."""
        return self.member.name

    @property
    def data_centre(self):
        """Name of its data centre."""
        return self.member.data_centre


class Membership:
    """The aggregate of all known instances, without clock or socket.

    Each instance advances its own heartbeat and exchanges digests with
    a few peers of its data centre; two speakers of a data centre also exchange
    with other data centres. A higher incarnation replaces a lower one.
    """

    __slots__ = (
        '_asked',
        '_beat_s',
        '_beats',
        '_by_id',
        '_forget_s',
        '_last_beat',
        '_last_tick',
        '_paused_since',
        '_rng',
        '_seeds',
        '_suspect_s',
        'local',
    )

    def __init__(self, member, timing, rng, seeds=()):
        self.local = PeerState(member)
        self._by_id = {member_id(member.name): self.local}
        self._rng = rng
        self._seeds = list(seeds)
        self._suspect_s = timing.suspect_s
        self._beat_s = timing.beat_s
        self._last_beat = float('-inf')
        self._forget_s = timing.forget_s
        self._beats = 0
        self._asked = set()
        self._last_tick = None
        self._paused_since = None

    def tick(self, now):
        """Advances the own heartbeat.

        Returns:
            Peer addresses to exchange digests with.
        """
        self._note_pause(now)
        self._last_tick = now
        self.local.heartbeat_at = now
        self._forget(now)
        due_s = self._beat_s * (self._pace() - BEAT_SLACK)
        if now - self._last_beat < due_s:
            return []
        self._last_beat = now
        self._beats += 1
        self.local.beat += 1
        return self._targets(now)

    def _pace(self):
        """Returns how much slower a large data centre beats, from 1 up.

        A digest grows with the data centre, so its rate falls, and what an
        instance sends in a second stays within bounds.
        """
        data_centre = self.local.data_centre
        size = sum(
            1 for k in self._by_id.values() if k.data_centre == data_centre
        )
        return max(1.0, size / LARGE_DATA_CENTRE)

    def _note_pause(self, now):
        if self._last_tick is None:
            return
        if now - self._last_tick > self._suspect_s:
            self._paused_since = now

    def is_suspect(self, now):
        """Tells whether this instance was paused and met no peer since."""
        late = (
            self._last_tick is not None
            and now - self._last_tick > self._suspect_s
        )
        return late or self._paused_since is not None

    def _forget(self, now):
        over = [
            key
            for key, known in self._by_id.items()
            if known is not self.local
            and now - known.heartbeat_at > self._forget_s
            and not known.listed
        ]
        for key in over:
            del self._by_id[key]

    def _targets(self, now):
        others = [k for k in self._by_id.values() if k is not self.local]
        near = [k for k in others if k.data_centre == self.local.data_centre]
        large = self._pace() > 1
        fanout = FANOUT_IN_LARGE_DATA_CENTRES if large else FANOUT
        chosen = self._sample(near, fanout)
        if not near or self._speaks(now):
            if self._beats % CROSS_EVERY_BEATS == 1 or not near:
                chosen += self._one_of_each_data_centre(others)
        addresses = [known.member.peer_address for known in chosen]
        if not addresses:
            addresses = self._sample(self._seeds, FANOUT)
        return addresses

    def _sample(self, items, most):
        return self._rng.sample(items, min(most, len(items)))

    def _one_of_each_data_centre(self, others):
        by_data_centre = {}
        for known in others:
            if known.data_centre != self.local.data_centre:
                by_data_centre.setdefault(known.data_centre, []).append(known)
        data_centres = self._sample(sorted(by_data_centre), FANOUT)
        return [
            self._rng.choice(by_data_centre[data_centre])
            for data_centre in data_centres
        ]

    def _speaks(self, now):
        return self.local in self.delegates(self.local.data_centre, now)

    def delegates(self, data_centre, now):
        """Returns the instances that act for a data centre.

        They watch the store's configuration and talk to other data centres.
        """
        ranked = sorted(
            (k for k in self.live(now) if k.data_centre == data_centre),
            key=lambda k: utils.stable_hash('speaker', k.name),
        )
        return ranked[:SPEAKERS_PER_DATA_CENTRE]

    def digest(self, now, to_data_centre=None):
        """Makes the part of a digest that this aggregate owns.

        Members of the own and the peer's data centre are told of each time.
        Of others a few are drawn, so that a digest grows with a data centre
        and not with all instances.
        """
        digest = peer_pb2.Digest(sender=self.local.member)
        near_data_centres = (self.local.data_centre, to_data_centre)
        far = []
        for key, known in self._by_id.items():
            if key in self._asked:
                digest.introduced.append(known.member)
            if now - known.heartbeat_at > self._forget_s:
                continue
            if known.data_centre in near_data_centres:
                digest.pulses.append(_pulse(key, known))
            else:
                far.append((key, known))
        for key, known in self._sample(far, FAR_PULSES):
            digest.pulses.append(_pulse(key, known))
        self._asked.clear()
        return digest

    def merge(self, digest, now):
        """Takes in a digest of a peer.

        Returns:
            Identifiers of instances that are to be introduced.
        """
        self._paused_since = None
        self._introduce(digest.sender)
        for member in digest.introduced:
            self._introduce(member)
        self._asked.update(digest.asked)
        unknown = []
        for pulse in digest.pulses:
            known = self._by_id.get(pulse.id)
            if known is None:
                unknown.append(pulse.id)
            elif known is not self.local:
                _advance(known, pulse, now)
        return unknown

    def _introduce(self, member):
        key = member_id(member.name)
        known = self._by_id.get(key)
        if known is None:
            self._by_id[key] = PeerState(member)
        elif known is not self.local and (
            member.incarnation > known.member.incarnation
        ):
            known.member = member
            known.beat = 0
            known.leaves = 0

    def merge_list(self, listed):
        """Takes in the platform's list, which lags.

        Args:
            listed: Tuple of ListedInstance.
        """
        names = set()
        for line in listed:
            names.add(line.name)
            key = member_id(line.name)
            known = self._by_id.get(key)
            if known is None:
                known = PeerState(_member_of(line))
                self._by_id[key] = known
            known.listed = True
            known.listed_leaving = line.leaving
        for known in self._by_id.values():
            if known.name not in names:
                known.listed = False

    def leave(self):
        """Marks this instance as leaving."""
        if self.local.leaves % 2 == 0:
            self.local.leaves += 1

    def cancel_leave(self):
        """Takes the leaving mark back."""
        if self.local.leaves % 2 == 1:
            self.local.leaves += 1

    def live(self, now):
        """Returns the instances heard of recently, in order of name."""
        pace = self._pace()
        return sorted(
            (k for k in self._by_id.values() if self._is_live(k, now, pace)),
            key=lambda known: known.name,
        )

    def _is_live(self, known, now, pace):
        """Tells whether a member was heard of; far ones take longer."""
        patience_s = self._suspect_s
        if known.data_centre != self.local.data_centre:
            patience_s *= FAR_PATIENCE
        return now - known.heartbeat_at <= patience_s * pace

    def all_instances(self):
        """Returns all known instances in order of name."""
        return sorted(self._by_id.values(), key=lambda known: known.name)

    def maybe_alive(self, now):
        """Returns instances that may still run: live or listed."""
        pace = self._pace()
        return [
            known
            for known in self.all_instances()
            if known.listed or self._is_live(known, now, pace)
        ]

    def data_centre_at(self, peer_address):
        """Returns the data centre of the instance at an address, or None."""
        for known in self._by_id.values():
            if known.member.peer_address == peer_address:
                return known.data_centre
        return None

    def usable(self, now):
        """Returns the instances that new jobs may be sent to."""
        return [known for known in self.live(now) if not known.leaving]


def _pulse(key, known):
    return peer_pb2.Pulse(
        id=key,
        incarnation=known.member.incarnation,
        beat=known.beat,
        leaves=known.leaves,
        revision=known.revision,
        jobs=known.jobs,
    )


def _advance(known, pulse, now):
    if pulse.incarnation < known.member.incarnation:
        return
    if pulse.incarnation > known.member.incarnation:
        known.member.incarnation = pulse.incarnation
        known.beat = 0
        known.leaves = 0
        known.revision = 0
    known.leaves = max(known.leaves, pulse.leaves)
    known.revision = max(known.revision, pulse.revision)
    if pulse.beat > known.beat:
        known.beat = pulse.beat
        known.heartbeat_at = now
        known.jobs = pulse.jobs


def _member_of(line):
    return peer_pb2.Member(
        name=line.name,
        data_centre=line.data_centre,
        client_address=line.client_address,
        peer_address=line.peer_address,
        operator_address=line.operator_address,
        weight=1.0,
    )
