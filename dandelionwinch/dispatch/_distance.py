"""Assumed round-trip times between data centres; none is measured."""

SAME_DATA_CENTRE_S = 0.0005
SAME_REGION_S = 0.003
CROSS_REGION_S = 0.025


class Distances:
    """Round-trip times from one instance's data centre."""

    __slots__ = ('_data_centre', '_regions')

    def __init__(self, data_centre, regions):
        self._data_centre = data_centre
        self._regions = regions

    def round_trip_s(self, data_centre):
        """Returns the round trip to a data centre in seconds."""
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE_S
        region = self._regions.get(data_centre)
        if region and region == self._regions.get(self._data_centre):
            return SAME_REGION_S
        return CROSS_REGION_S
