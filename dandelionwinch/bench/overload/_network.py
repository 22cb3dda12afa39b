"""Where the simulated instances and engines are, and what crosses regions."""

from dandelionwinch import dispatch

# Sizes of a prompt's text and of its KV cache.
PROMPT_TOKEN_BYTES = 6
KV_TOKEN_BYTES = 130_000


class Network:
    """Round trips and bytes between instances and engines.

    If the load names no regions, each data centre is a region, the instances
    are in none of them, and all round trips are equal.

    Args:
        load: The Load.

    Attributes:
        region_bytes: Bytes of prompts and KV caches sent to other regions.
    """

    def __init__(self, load):
        self._round_trip_s = load.round_trip_s
        self._located = bool(load.regions)
        self._data_centres = [group.data_centre for group in load.engines]
        self._regions = {
            name: load.regions.get(name, name) for name in self._data_centres
        }
        self.region_bytes = 0

    def distances(self, instance):
        """Returns the dispatch.Distances of an instance by its number."""
        return dispatch.Distances(self._data_centre(instance), self._regions)

    def _data_centre(self, instance):
        if not self._located:
            return ''
        return self._data_centres[instance % len(self._data_centres)]

    def region(self, data_centre):
        """Returns the region of a data centre."""
        return self._regions[data_centre]

    def region_of_instance(self, instance):
        """Returns the region of an instance, None without regions."""
        return self._regions.get(self._data_centre(instance))

    def round_trip_s(self, instance, data_centre):
        """Returns the round trip from an instance to a data centre."""
        if not self._located:
            return self._round_trip_s
        return self.distances(instance).round_trip_s(data_centre)

    def count_prompt(self, instance, data_centre, tokens):
        """Counts a prompt that an instance sends to a data centre."""
        region = self.region_of_instance(instance)
        if region not in (None, self._regions[data_centre]):
            self.region_bytes += tokens * PROMPT_TOKEN_BYTES

    def count_kv_cache(self, source, target, tokens):
        """Counts a KV cache that goes from one data centre to another."""
        if self._regions[source] != self._regions[target]:
            self.region_bytes += tokens * KV_TOKEN_BYTES
