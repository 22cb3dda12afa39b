"""Tells an answer of the store from late copies of earlier answers.

Answers name no request, so that a copy of an earlier one that comes right
behind the next request on the same connection looks like its answer. Revisions
rise with each change and ids of leases are given once. So most answers show
that they were made after the request was sent, or at least that they are of
its kind.

Each check is a function of the data of an answer, of the highest revision that
was known as the request was sent, and of the seconds from then to the answer.
"""

# Time by which the store may end a watch without changes too early, as it
# rounds the wait to milliseconds and has its own timers.
WAIT_TOLERANCE_S = 0.05
# Fields of answers to calls that are not about leases.
_OTHER_FIELDS = frozenset(('items', 'events', 'revision'))


def is_page(prefix, after):
    """Returns the check of a page of a listing.

    A copy of an earlier first page states no higher revision than is known.
    One that states the same is up to date, but not known to be made since.

    Args:
        prefix: Prefix of the keys.
        after: Last key of the page before, '' for the first page.
    """

    def check(data, known, _waited_s):
        revision, items = data.get('storeRevision', -1), data.get('items')
        if items is None or revision < known + (not after):
            return False
        keys = [item['key'] for item in items]
        return all(key.startswith(prefix) and key > after for key in keys)

    return check


def is_change(after, wait_s):
    """Returns the check of the answer to a watch.

    Args:
        after: Number of the revision that changes are to follow.
        wait_s: Seconds after which the store answers without changes.
    """

    def check(data, _known, waited_s):
        revision, events = data.get('storeRevision', -1), data.get('events')
        if events is None:
            return False
        if not events and waited_s < wait_s - WAIT_TOLERANCE_S:
            return revision > after
        return revision >= after and all(
            event['revision'] > after for event in events
        )

    return check


def is_write(data, known, _waited_s):
    """Checks the answer to a write."""
    return data.get('revision', -1) > known


def is_new_lease(granted):
    """Returns the check of the answer to a request for a lease.

    Args:
        granted: Ids of earlier leases of the store's epoch.
    """
    return lambda data, _known, _waited_s: (
        'lease' in data and data['lease'] not in granted
    )


def is_of_lease(lease_id):
    """Returns the check of the answer to a renewal or the end of a lease.

    Args:
        lease_id: Id of the lease.
    """
    return lambda data, _known, _waited_s: (
        not data.keys() & _OTHER_FIELDS
        and data.get('lease', lease_id) == lease_id
    )
