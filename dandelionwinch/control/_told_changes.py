"""What an instance tells others of the store's items."""

from dandelionwinch import relay


def from_items(items, config_key):
    """Returns Change items; a configuration is too large to be told.

    Args:
        items: Items of the store, or changes with the same fields.
        config_key: Key of the configuration.
    """
    return [
        relay.Change(item.key, None, item.revision, withheld=True)
        if item.key == config_key and item.value is not None
        else relay.Change(item.key, item.value, item.revision)
        for item in items
    ]


def from_listing(listing, number, known_keys, config_key):
    """Returns Change items that lead from a revision to that of a Listing.

    The store's history may be gone for others too, which it may turn away.

    Args:
        listing: Listing of all items.
        number: Number of the revision at which they begin.
        known_keys: Set of the keys that were there at it.
        config_key: Key of the configuration.
    """
    newer = [item for item in listing.items if item.revision > number]
    newer.sort(key=lambda item: item.revision)
    gone = known_keys - {item.key for item in listing.items}
    return from_items(newer, config_key) + [
        relay.Change(key, None, listing.revision.number)
        for key in sorted(gone)
    ]
