"""Group membership by heartbeats that spread by gossip.

A digest is the message that instances exchange; its pulses are the states of
instances as the sender has them (peer.proto).
"""

from dandelionwinch.membership import _peer_state
from dandelionwinch.peers import peer_pb2
from dandelionwinch import utils

# Peers per exchange.
FANOUT = 3
FANOUT_IN_LARGE_DATA_CENTRES = 2
LARGE_DATA_CENTRE_INSTANCES = 16
DELEGATES_PER_DATA_CENTRE = 2
# A delegate exchanges with other data centres every so many heartbeats.
REMOTE_EXCHANGE_HEARTBEATS = 4
# Pulses in one digest of instances that are neither in the sender's nor in the
# receiver's data centre.
REMOTE_PULSES = 16
# Heartbeats from other data centres arrive later.
REMOTE_SUSPECT_RATIO = 5.0
# A heartbeat may be early by this part of an interval, as ticks are jittered.
HEARTBEAT_SLACK_RATIO = 0.5


class Membership:
    """The states of all known instances, without clock or I/O.

    Each instance advances its own heartbeat and exchanges digests with a few
    peers of its data centre. The delegates of a data centre also exchange
    digests with other data centres. A higher incarnation replaces a lower
    one. The methods that return instances include the local one.

    Args:
        member: Member message of the local instance.
        timing: TimingSettings.
        rng: Random number generator.
        seeds: Peer addresses to contact while no peer is known.

    Attributes:
        local: PeerState of the local instance.
    """

    __slots__ = (
        '_by_id',
        '_forget_s',
        '_heartbeat_s',
        '_heartbeats',
        '_last_heartbeat',
        '_last_tick',
        '_paused_at',
        '_requested_ids',
        '_rng',
        '_seeds',
        '_suspect_s',
        'local',
    )

    def __init__(self, member, timing, rng, seeds=()):
        self.local = _peer_state.PeerState(member)
        self._by_id = {_peer_state.member_id(member.name): self.local}
        self._rng = rng
        self._seeds = list(seeds)
        self._suspect_s = timing.suspect_s
        self._heartbeat_s = timing.beat_s
        self._last_heartbeat = float('-inf')
        self._forget_s = timing.forget_s
        self._heartbeats = 0
        self._requested_ids = {}
        self._last_tick = None
        self._paused_at = None

    def tick(self, now):
        """Advances the local heartbeat when it is due.

        Returns:
            Peer addresses to exchange digests with.
        """
        self._detect_pause(now)
        self._last_tick = now
        self.local.heartbeat_at = now
        self._forget(now)
        due_s = self._heartbeat_s * (
            self._slowdown_factor() - HEARTBEAT_SLACK_RATIO
        )
        if now - self._last_heartbeat < due_s:
            return []
        self._last_heartbeat = now
        self._heartbeats += 1
        self.local.heartbeat += 1
        return self._targets(now)

    def _slowdown_factor(self):
        """Returns the factor by which heartbeats slow down, at least 1.

        A digest grows with the data centre, so digests are sent less often
        in a large one. This bounds the bytes that an instance sends per
        second.
        """
        data_centre = self.local.data_centre
        size = sum(
            1
            for peer in self._by_id.values()
            if peer.data_centre == data_centre
        )
        return max(1.0, size / LARGE_DATA_CENTRE_INSTANCES)

    def _detect_pause(self, now):
        if self._last_tick is None:
            return
        if now - self._last_tick > self._suspect_s:
            self._paused_at = now

    def was_paused(self, now):
        """Returns whether this instance was paused and got no digest since."""
        paused = (
            self._last_tick is not None
            and now - self._last_tick > self._suspect_s
        )
        return paused or self._paused_at is not None

    def _forget(self, now):
        expired = [
            key
            for key, peer in self._by_id.items()
            if peer is not self.local
            and now - peer.heartbeat_at > self._forget_s
            and not peer.listed
        ]
        for key in expired:
            address = self._by_id.pop(key).member.peer_address
            self._requested_ids.pop(address, None)

    def _targets(self, now):
        others = [
            peer for peer in self._by_id.values() if peer is not self.local
        ]
        local_peers = [
            peer
            for peer in others
            if peer.data_centre == self.local.data_centre
        ]
        large = self._slowdown_factor() > 1
        fanout = FANOUT_IN_LARGE_DATA_CENTRES if large else FANOUT
        chosen = self._sample(local_peers, fanout)
        if not local_peers or self._is_delegate(now):
            if (
                self._heartbeats % REMOTE_EXCHANGE_HEARTBEATS == 1
                or not local_peers
            ):
                chosen += self._one_per_data_centre(others)
        addresses = [peer.member.peer_address for peer in chosen]
        if not addresses:
            addresses = self._sample(self._seeds, FANOUT)
        return addresses

    def _sample(self, items, count):
        return self._rng.sample(items, min(count, len(items)))

    def _one_per_data_centre(self, others):
        by_data_centre = {}
        for peer in others:
            if peer.data_centre != self.local.data_centre:
                by_data_centre.setdefault(peer.data_centre, []).append(peer)
        data_centres = self._sample(sorted(by_data_centre), FANOUT)
        return [
            self._rng.choice(by_data_centre[data_centre])
            for data_centre in data_centres
        ]

    def _is_delegate(self, now):
        return self.local in self.delegates(self.local.data_centre, now)

    def delegates(self, data_centre, now):
        """Returns the instances that act on behalf of a data centre.

        They poll the store for configurations and exchange digests with
        other data centres.
        """
        # All instances must rank alike, so the salt must not change; it is an
        # earlier term for a delegate.
        ranking = sorted(
            (
                peer
                for peer in self.live(now)
                if peer.data_centre == data_centre
            ),
            key=lambda peer: utils.stable_hash('speaker', peer.name),
        )
        return ranking[:DELEGATES_PER_DATA_CENTRE]

    def digest(self, now, to_data_centre=None, to_address=''):
        """Builds the membership part of a digest.

        It has all instances of the local and of the receiver's data centre,
        and a random sample of the others, so that its size grows with a data
        centre and not with the number of all instances.

        Args:
            now: Time in seconds.
            to_data_centre: Data centre of the receiver, or None if unknown.
            to_address: Peer address of the receiver, which gets the Members
                that it asked for.
        """
        digest = peer_pb2.Digest(sender=self.local.member)
        included = (self.local.data_centre, to_data_centre)
        remote_peers = []
        requested_ids = self._requested_ids.pop(to_address, ())
        for key, peer in self._by_id.items():
            if key in requested_ids:
                digest.introduced.append(peer.member)
            if now - peer.heartbeat_at > self._forget_s:
                continue
            if peer.data_centre in included:
                digest.pulses.append(_peer_state.dump_pulse(key, peer))
            else:
                remote_peers.append((key, peer))
        for key, peer in self._sample(remote_peers, REMOTE_PULSES):
            digest.pulses.append(_peer_state.dump_pulse(key, peer))
        return digest

    def merge(self, digest, now):
        """Merges a digest of a peer.

        Beside pulses, `introduced` has Members that the peer was asked for,
        and `asked` has identifiers whose Members the peer requests.

        Returns:
            Identifiers of unknown instances, whose Member messages are to be
            requested from the peer.
        """
        self._paused_at = None
        self._introduce(digest.sender)
        for member in digest.introduced:
            self._introduce(member)
        if digest.asked:
            address = digest.sender.peer_address
            self._requested_ids.setdefault(address, set()).update(digest.asked)
        unknown = []
        for pulse in digest.pulses:
            peer = self._by_id.get(pulse.id)
            if peer is None:
                unknown.append(pulse.id)
            elif peer is not self.local:
                _peer_state.advance(peer, pulse, now)
        return unknown

    def _introduce(self, member):
        key = _peer_state.member_id(member.name)
        peer = self._by_id.get(key)
        if peer is None:
            self._by_id[key] = _peer_state.PeerState(member)
        elif peer is not self.local and (
            member.incarnation > peer.member.incarnation
        ):
            peer.member = member
            _peer_state.begin_incarnation(peer)

    def merge_list(self, listed):
        """Merges the platform's list of instances, which lags.

        Args:
            listed: Sequence of ListedInstance.
        """
        names = set()
        for entry in listed:
            names.add(entry.name)
            key = _peer_state.member_id(entry.name)
            peer = self._by_id.get(key)
            if peer is None:
                peer = _peer_state.PeerState(_member_of(entry))
                self._by_id[key] = peer
            peer.listed = True
            peer.listed_leaving = entry.leaving
        for peer in self._by_id.values():
            if peer.name not in names:
                peer.listed = False

    def leave(self):
        """Marks the local instance as leaving."""
        if self.local.leave_count % 2 == 0:
            self.local.leave_count += 1

    def cancel_leave(self):
        """Removes the leaving mark of the local instance."""
        if self.local.leave_count % 2 == 1:
            self.local.leave_count += 1

    def live(self, now):
        """Returns the instances with a recent heartbeat, sorted by name."""
        slowdown_factor = self._slowdown_factor()
        return sorted(
            (
                peer
                for peer in self._by_id.values()
                if self._is_live(peer, now, slowdown_factor)
            ),
            key=lambda peer: peer.name,
        )

    def _is_live(self, peer, now, slowdown_factor):
        """Returns whether an instance's heartbeat is recent.

        Heartbeats from other data centres take longer.
        """
        suspect_s = self._suspect_s
        if peer.data_centre != self.local.data_centre:
            suspect_s *= REMOTE_SUSPECT_RATIO
        return now - peer.heartbeat_at <= suspect_s * slowdown_factor

    def all_instances(self):
        """Returns all known instances, sorted by name."""
        return sorted(self._by_id.values(), key=lambda peer: peer.name)

    def maybe_alive(self, now):
        """Returns the instances that are live or on the platform's list."""
        slowdown_factor = self._slowdown_factor()
        return [
            peer
            for peer in self.all_instances()
            if peer.listed or self._is_live(peer, now, slowdown_factor)
        ]

    def data_centre_at(self, peer_address):
        """Returns the data centre of the instance at an address, or None."""
        for peer in self._by_id.values():
            if peer.member.peer_address == peer_address:
                return peer.data_centre
        return None

    def usable(self, now):
        """Returns the live instances that are not leaving."""
        return [peer for peer in self.live(now) if not peer.leaving]


def _member_of(entry):
    return peer_pb2.Member(
        name=entry.name,
        data_centre=entry.data_centre,
        client_address=entry.client_address,
        peer_address=entry.peer_address,
        operator_address=entry.operator_address,
        weight=1.0,
    )
