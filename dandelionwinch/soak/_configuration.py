"""The configuration that the soak's operators write to the store."""

from dandelionwinch.platform import samples
from dandelionwinch import routes
from dandelionwinch.soak import _stream_moves


class Configuration:
    """Writes versions of the configuration.

    Args:
        store: KvStore.
        teams: Teams, None for a configuration without teams.
        clock: Function that returns the event loop time.
        service_fields: Further fields of the service, by their wire names.
    """

    __slots__ = ('_clock', '_service', '_store', '_teams', '_version')

    def __init__(self, store, teams, clock, service_fields):
        self._service = samples.service(**service_fields)
        self._store = store
        self._teams = teams
        self._clock = clock
        self._version = 1

    def write_first(self):
        """Writes the first version."""
        self._write()

    def write_next(self, step=1):
        """Writes a version whose number is higher by a step."""
        self._version += step
        self._write()

    def _write(self):
        route_list = [
            samples.route_of('once', routes.RetryPolicy.ONCE),
            samples.route_of(
                'safe', routes.RetryPolicy.IDEMPOTENT, attempts=2
            ),
            samples.route_of(
                'resume',
                routes.RetryPolicy.RESUMABLE,
                streaming=True,
                attempts=2,
            ),
            samples.route_of(
                _stream_moves.ROUTE,
                routes.RetryPolicy.ONCE,
                streaming=True,
                timeout_s=_stream_moves.TIMEOUT_S,
            ),
        ]
        teams = self._teams.rows() if self._teams else None
        value = samples.config(
            self._version, route_list, [self._service], teams
        )
        if self._teams:
            self._teams.wrote(value, self._clock())
        self._store.write(samples.CONFIG_KEY, value)

    def store_changed(self):
        """Records the version that the store holds after a restore."""
        if self._teams:
            value = self._store.value(samples.CONFIG_KEY)
            self._teams.store_holds(value, self._clock())
