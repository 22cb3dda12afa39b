"""What an instance knows of another one, and its encoding in a digest."""

import attrs

from dandelionwinch.peers import peer_pb2
from dandelionwinch import utils


def member_id(name):
    """Returns the identifier that stands for an instance's name in pulses."""
    return utils.stable_hash('member', name)


@attrs.define
class PeerState:
    """The last known state of one instance, remote or local.

    Attributes:
        member: Name, data centre, addresses and incarnation.
        heartbeat: Counter that the instance advances.
        leave_count: Odd while the instance is leaving; leave and
            cancel_leave increment it.
        heartbeat_at: Time at which its heartbeat last advanced.
        listed: Whether it is on the platform's list; None before the list
            was read.
        listed_leaving: Whether the platform's list marks it as leaving.
        jobs: Number of jobs that it serves.
        revision: Configuration revision that it has.
    """

    member: peer_pb2.Member
    heartbeat: int = 0
    leave_count: int = 0
    heartbeat_at: float = float('-inf')
    listed: bool | None = None
    listed_leaving: bool = False
    jobs: int = 0
    revision: int = 0

    @property
    def leaving(self):
        """Whether it is leaving and will soon accept no new work."""
        return self.leave_count % 2 == 1 or self.listed_leaving

    @property
    def name(self):
        """Name of the instance."""
        return self.member.name

    @property
    def data_centre(self):
        """Name of its data centre."""
        return self.member.data_centre


def dump_pulse(key, peer):
    """Encodes a PeerState: beat is heartbeat, leaves is leave_count."""
    return peer_pb2.Pulse(
        id=key,
        incarnation=peer.member.incarnation,
        beat=peer.heartbeat,
        leaves=peer.leave_count,
        revision=peer.revision,
        jobs=peer.jobs,
    )


def begin_incarnation(peer):
    """Drops what only the previous process of an instance had."""
    peer.heartbeat = 0
    peer.leave_count = 0
    peer.revision = 0


def advance(peer, pulse, now):
    """Updates a PeerState from a pulse that is not older."""
    if pulse.incarnation < peer.member.incarnation:
        return
    if pulse.incarnation > peer.member.incarnation:
        peer.member.incarnation = pulse.incarnation
        begin_incarnation(peer)
    peer.leave_count = max(peer.leave_count, pulse.leaves)
    peer.revision = max(peer.revision, pulse.revision)
    if pulse.beat > peer.heartbeat:
        peer.heartbeat = pulse.beat
        peer.heartbeat_at = now
        peer.jobs = pulse.jobs
