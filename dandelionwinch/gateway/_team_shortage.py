"""How the prompt of a team stands where engines are short of capacity."""

from dandelionwinch import dispatch


class TeamShortage:
    """The standing of one prompt, and what a shortage does to it.

    Args:
        state: RequestState.

    Attributes:
        standing: dispatch.Standing of the request's team.
    """

    __slots__ = ('_counted', '_sharing', '_state', 'standing')

    def __init__(self, state):
        self._state = state
        self._sharing = state.gateway.fair_sharing
        self._counted = False
        self.standing = self._find_standing()

    def _find_standing(self):
        """Returns the Standing of the request's team.

        The priority of a team takes precedence over that of the route.
        """
        req, usual = self._state.req, self._state.route.priority
        priority, urgency = req.team_priority, 0
        if priority is not None:
            urgency = (priority > usual) - (priority < usual)
        return self._sharing.standing(self._state.service, req.team, urgency)

    def count(self, placement):
        """Counts once if the request must wait or is refused.

        Args:
            placement: Placement of its first attempt, None if it is refused.
        """
        if self._counted:
            return
        self._counted = True
        service, req = self._state.service, self._state.req
        if placement is None:
            self._sharing.record_refused(service, req.team, req.id)
            return
        background = dispatch.PriorityClass.BACKGROUND
        self._sharing.record_served(
            service,
            req.team,
            req.id,
            delayed=placement.priority_class is background,
        )
