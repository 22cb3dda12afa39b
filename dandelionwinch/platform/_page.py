"""Pages of an instance that operators read, as JSON."""

import json
import math

import attrs

_JSON = (('Content-Type', 'application/json'),)


@attrs.frozen
class Page:
    """A page that operators read at the metrics server.

    Attributes:
        path: Its path.
        absent: Why there is no such page, where `read` returns None.
        read: Function of an Instance and the loop time that returns what the
            page holds, or None if the settings do not call for it.
    """

    path: str
    absent: bytes
    read: object

    def respond(self, instance, now, caller):
        """Answers a request for the page.

        Args:
            instance: The Instance.
            now: Loop time.
            caller: Connection that receives the response.
        """
        body = self.read(instance, now)
        if body is None:
            caller.respond(404, (), self.absent)
            return
        caller.respond(200, _JSON, json.dumps(body).encode())


def rounded(value, decimals):
    """Returns a rounded number, None for an infinite one, unknown to JSON."""
    return round(value, decimals) if math.isfinite(value) else None
