"""What an instance sends others of the changes that it knows."""

from dandelionwinch.control import _audience
from dandelionwinch import relay

# Longest time between two messages of a watcher.
CYCLE_S = 1.0
# Changes of this time are in the first message of one that begins to tell.
# Those that it tells were silent for SILENCE_S and that of all ranks.
TELL_BACK_S = 5.0
# What is told with an older view answers no question.
MAX_ANSWER_AGE_S = 2.0
# A failed call of another instance matters for upstreams.REREGISTER_S.
MAX_FAILED_S = 3.0


class ChangeSender:
    """Tells the others of changes, and answers those that ask.

    Args:
        loop: Event loop.
        link: ChangeLink.
        history: relay.History of the changes that are known.
        follower: StoreSync, for the view and its ages.
        metrics: Metrics of the gateway.
    """

    __slots__ = (
        '_audience',
        '_follower',
        '_history',
        '_link',
        '_loop',
        '_metrics',
        '_told_number',
    )

    def __init__(self, loop, link, history, follower, metrics):
        self._loop = loop
        self._link = link
        self._history = history
        self._follower = follower
        self._metrics = metrics
        self._audience = _audience.Audience()
        # Number of the revision up to which the others were told.
        self._told_number = 0

    def has_askers(self):
        """Tells whether any instance asked of late."""
        return self._audience.has_askers(self._loop.time())

    def restart(self, number):
        """Begins anew at the number of a revision."""
        self._told_number = number

    def begin(self, now):
        """Begins to tell, as others have told what is older until now."""
        self._told_number = self._history.number_at(now - CYCLE_S)

    def tell(self, names):
        """Tells all that listen what has changed since the last time.

        Args:
            names: Names of the registered instances of the data centre.
        """
        now, peers = self._loop.time(), self._link.peers
        known = {name: peers[name] for name in names if name in peers}
        addresses = self._audience.addresses(known, now)
        # One that begins to tell may know a minute of changes.
        late_number = self._history.number_at(now - TELL_BACK_S)
        number = max(self._told_number, late_number)
        self._send(self._history.after(number), addresses)
        self._told_number = self._history.number

    def asked(self, name, addr, now):
        """Records that an instance asked, which is told from now on."""
        self._audience.asked(name, addr, now)

    def answer(self, number, name, addr, now):
        """Answers a question, unless the view is old or it came too soon.

        Args:
            number: Number of the revision after which changes are asked for.
            name: Name of the instance that asks.
            addr: Its address.
            now: Time in seconds.
        """
        if self._follower.ages.answer_age_s() > MAX_ANSWER_AGE_S:
            return
        if not self._audience.may_answer(name, now):
            return
        if self._history.covers(number):
            self._send(self._history.after(number), [addr])
        else:
            # All that is kept may be large, and is of no use to the other.
            self._send((number, number, None), [addr])

    def _send(self, told, addresses):
        """Sends changes.

        Args:
            told: Numbers of the revisions at which they begin and of the
                last listing among them, and the Change items or None.
            addresses: Addresses of the receivers.
        """
        view, ages = self._follower.view, self._follower.ages
        before, listed, changes = told
        failed_s = ages.failed_s()
        message = relay.Message(
            view.epoch,
            before,
            self._history.number,
            listed,
            self._loop.time(),
            ages.answer_age_s(),
            ages.known_age_s(),
            failed_s if failed_s <= MAX_FAILED_S else None,
            changes,
        )
        self._link.send_changes(message, addresses)
        self._metrics.relay_messages.labels('sent').inc(len(addresses))
