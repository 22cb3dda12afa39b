"""What happened in a soak, and the guarantees that it must meet."""

import asyncio
import math

import attrs

from dandelionwinch.soak import _log_checks
from dandelionwinch.soak import _stream_moves
from dandelionwinch.tools import explain

# Time after a cut-off within which an instance has the store's state again.
CATCH_UP_S = 4.0
# Time after an unplanned fault of an instance or of a link to it for which
# the closed connections of its callers are put down to that fault.
DISTURBED_S = 4.0
# Time for which a request may be on its way through a disturbed link.
ON_THE_WAY_S = 4.0
# Time after the response that announces a shutdown in which requests may
# still reach the upstream.
ANNOUNCED_S = 1.0
# Time after a request for a pause in which requests that were under way may
# arrive, and how many may later.
UNDER_WAY_S = 0.5
MAX_IN_PAUSE = 2
# Time after a signal to an instance, or the start of a disturbance of a link,
# until which its effect may last.
INTERRUPTION_S = 7.0
# Beginnings of the ids of requests that must not run twice.
ONCE_PREFIXES = ('once-', f'{_stream_moves.ROUTE}-')


@attrs.define
class CutOff:
    """A period in which an instance could not follow the store.

    Attributes:
        frontend: Frontend address of the instance, by which requests that
            it sent are matched; the name of the Proxy for other links,
            which match none.
        start: Event loop time.
        end: Event loop time, infinite while the period lasts.
    """

    frontend: str
    start: float
    end: float = math.inf


class Checks:
    """The records of one soak, and what they violate.

    Args:
        observations: Observations of the callers.
        executions: ExecutionLog of the upstreams.
        poison: Poison.
        limits: Limits.
        teams: Teams, None without teams.
        duties: Duties, None without duties.
        folder: Folder with the logs.
        instances: The Instances; more may be added.

    Attributes:
        capacity: Capacity, None without scaling.
        cut_offs: The CutOffs.
        disturbed: Frontend address, start and end of each time in which an
            instance, or a link of its callers, was disturbed.
        interruptions: Frontend address or upstream id, and time, of each
            signal to an instance and each disturbance of the link to an
            upstream.
        unix_offset_s: Unix time less event loop time.
    """

    __slots__ = (
        'capacity',
        'cut_offs',
        'disturbed',
        'duties',
        'executions',
        'folder',
        'instances',
        'interruptions',
        'limits',
        'observations',
        'poison',
        'teams',
        'unix_offset_s',
    )

    def __init__(
        self,
        observations,
        executions,
        poison,
        limits,
        teams,
        duties,
        folder,
        instances,
    ):
        self.observations = observations
        self.executions = executions
        self.poison = poison
        self.limits = limits
        self.teams = teams
        self.duties = duties
        self.capacity = None
        self.folder = folder
        self.instances = instances
        self.cut_offs = []
        self.disturbed = []
        self.interruptions = []
        self.unix_offset_s = 0.0

    def record_interruption(self, name):
        """Records a signal to an instance, or a disturbance of a link."""
        now = asyncio.get_running_loop().time()
        self.interruptions.append((name, now))

    def record_disturbed(self, frontend, duration_s):
        """Records an unplanned fault of an instance or of a link to it."""
        now = asyncio.get_running_loop().time()
        end = now + duration_s + DISTURBED_S
        self.disturbed.append((frontend, now, end))

    def begin_cut_off(self, frontend):
        """Returns a new CutOff, which lasts until its end is set."""
        cut_off = CutOff(frontend, asyncio.get_running_loop().time())
        self.cut_offs.append(cut_off)
        return cut_off

    def _may_have_missed_withdrawal(self, request_id, at):
        """Returns whether the sender may not have known of a withdrawal.

        It was cut off from the store, or the store came back from a copy,
        and its log does not show that it knew of the withdrawal before.

        Args:
            request_id: Request that the instance sent.
            at: When the request reached the upstream, in event loop time.
        """
        frontend = self.observations.sent_to.get(request_id)
        cut_off = any(
            cut_off.frontend == frontend
            and cut_off.start <= at <= cut_off.end + CATCH_UP_S
            for cut_off in self.cut_offs
        )
        return cut_off and not self._knew_withdrawal(frontend, request_id, at)

    def _knew_withdrawal(self, frontend, request_id, at):
        """Tells whether the log shows that a sender knew of a withdrawal."""
        before = self.unix_offset_s + at - ON_THE_WAY_S
        events = list(self._events_of(frontend))
        return any(
            _log_checks.knew_withdrawal(
                events, upstream_id, request_id, before
            )
            for upstream_id, other, arrived_at in self.executions.arrivals
            if (other, arrived_at) == (request_id, at)
        )

    def _events_of(self, frontend):
        """Returns the LogEvents of the instance with a frontend address."""
        for instance in self.instances:
            if instance.frontend == frontend:
                path = self.folder / f'{instance.name}.log'
                text = path.read_text(errors='replace')
                return explain.read_events(text.splitlines())
        return ()

    def _cut_by_planned_work(self):
        """Returns the calls that were passed on and got no response.

        Streams may end without one, as an upstream may break them off. So
        may calls beside an unplanned fault of their instance or its links.
        """
        return [
            request_id
            for request_id, at in self.observations.closed.items()
            if request_id.startswith(('once-', 'safe-'))
            and request_id in self.executions.arrived
            and not any(
                frontend == self.observations.sent_to.get(request_id)
                and start <= at <= end
                for frontend, start, end in self.disturbed
            )
        ]

    def _sent_by(self, frontend, upstream_id, start, end):
        """Returns the requests of an instance that reached an upstream.

        Args:
            frontend: Frontend address of the instance.
            upstream_id: Id of the upstream.
            start: Event loop time after which they arrived.
            end: Event loop time before which they arrived.
        """
        return [
            (request_id, at)
            for other, request_id, at in self.executions.arrivals
            if other == upstream_id
            and start < at < end
            and self.observations.sent_to.get(request_id) == frontend
        ]

    def _interrupted(self, names, start, end):
        """Tells whether an instance or link was interrupted in a period."""
        return any(
            name in names and start - INTERRUPTION_S <= at <= end
            for name, at in self.interruptions
        )

    def _sent_after_announcement(self):
        """Returns the requests to upstreams that had announced their end."""
        found = set()
        for answered, since in self.observations.announced.items():
            upstream_id = self.executions.announced[answered]
            frontend = self.observations.sent_to[answered]
            found |= {
                request_id
                for request_id, at in self._sent_by(
                    frontend, upstream_id, since + ANNOUNCED_S, math.inf
                )
                if not self._interrupted((frontend,), since, at)
            }
        return sorted(found)

    def _sent_in_pauses(self):
        """Returns the pauses in which too many requests arrived."""
        found = []
        for pause in self.executions.pauses:
            frontend = self.observations.sent_to[pause.request_id]
            end = pause.at + pause.wait_s
            sent = self._sent_by(
                frontend, pause.upstream_id, pause.at + UNDER_WAY_S, end
            )
            names = (frontend, pause.upstream_id)
            if len(sent) > MAX_IN_PAUSE and not self._interrupted(
                names, pause.at, end
            ):
                found.append(pause)
        return found

    def _check_logs(self):
        broken = []
        all_events = []
        for path in sorted(self.folder.glob('*.log')):
            text = path.read_text(errors='replace')
            if 'gateway.fault' in text:
                broken.append(f'{path.name}: an internal error of the gateway')
            events = list(explain.read_events(text.splitlines()))
            broken += _log_checks.config_regressions(events)
            all_events += events
        return broken + _log_checks.token_regressions(all_events)

    def broken(self):
        """Returns the descriptions of all violations."""
        runs = self.executions.runs
        broken = list(self.observations.violations)
        broken += [
            f'{request_id}: ran {count} times'
            for request_id, count in runs.items()
            if request_id.startswith(ONCE_PREFIXES) and count > 1
        ]
        broken += [
            f'{request_id}: reported as not run, but ran'
            for request_id in self.observations.not_run
            if request_id in runs and request_id.startswith(ONCE_PREFIXES)
        ]
        broken += [
            f'{request_id}: sent to an upstream long after its withdrawal'
            for request_id, at in self.executions.late
            if not self._may_have_missed_withdrawal(request_id, at)
        ]
        broken += [
            f'{request_id}: passed on and closed without a response'
            for request_id in self._cut_by_planned_work()
        ]
        broken += [
            f'{request_id}: sent to an upstream that had announced its end'
            for request_id in self._sent_after_announcement()
        ]
        broken += [
            f'{pause.upstream_id}: got requests in a pause of '
            f'{pause.wait_s:.2f} s after {pause.request_id}'
            for pause in self._sent_in_pauses()
        ]
        broken += self.poison.violations(
            self.executions.arrivals,
            self.executions.runs,
            self.observations.sent_to,
        )
        broken += self.limits.violations(
            self.executions.arrivals,
            self.observations.limited,
            self.observations.sent_to,
            self._interrupted,
        )
        broken += self._check_teams()
        if self.duties is not None:
            begun = self.executions.begun.values()
            broken += self.duties.violations(begun)
        if self.capacity is not None:
            broken += self.capacity.violations(
                self.executions.arrivals,
                self.observations.cut,
                self._may_be_cut,
            )
        broken += self._check_logs()
        return broken

    def _may_be_cut(self, request_id, start, end):
        """Tells whether a fault may have cut a request in a period."""
        frontend = self.observations.sent_to.get(request_id)
        reached = {
            other
            for other, arrived, _at in self.executions.arrivals
            if arrived == request_id
        }
        return (
            request_id in self.executions.faulty
            or not reached.isdisjoint(self.executions.crashed)
            or self._interrupted((frontend, *reached), start, end)
            or any(
                other == frontend and since <= end and start <= until
                for other, since, until in self.disturbed
            )
        )

    def _check_teams(self):
        if self.teams is None:
            return []
        stops = [
            (sent.frontend, sent.at)
            for sent in self.poison.signals
            if sent.kind == 'pause'
        ]
        logs = {
            path.name: path.read_text(errors='replace')
            for path in sorted(self.folder.glob('*.log'))
        }
        return self.teams.violations(
            self.executions.arrivals,
            self.executions.identities,
            self.observations.sent_to,
            stops,
            logs,
        )
