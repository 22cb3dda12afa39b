"""Admission, placement, retries and completion of this instance's jobs."""

import zlib

from dandelionwinch.daemon import _candidates
from dandelionwinch.daemon import messages
from dandelionwinch import errors
from dandelionwinch import jobs
from dandelionwinch import limits
from dandelionwinch import placement
from dandelionwinch import settings

# A job is refused if its first token is expected later than this. Farther
# pools are considered if it is expected later than half of this. The target
# of the model, Model.first_token_s, only enters the relay's timeout.
MAX_WAIT_S = 5.0


class Scheduler:
    """Admits, places, retries and finishes jobs.

    Attributes:
        job_history: Running and recent jobs.
        admission: Limits of teams and of the instance.
        estimates: Load estimate of each model upstream.
        placer: Chooses upstreams by the estimates.
        trends: Demand by name of the pool.
    """

    def __init__(self, core):
        self._core = core
        self.job_history = jobs.JobHistory()
        self.admission = limits.Admission(core.cfg.relay.max_jobs)
        self.estimates = placement.LoadEstimates()
        self.placer = placement.Placer(self.estimates, core.rng)
        self._retry_budgets = {}
        self.trends = {}

    def running_jobs(self):
        """Returns the number of running jobs."""
        return self.admission.jobs

    def update_upstreams(self, catalog):
        """Sets the model upstreams of a new configuration."""
        self.estimates.set_upstreams(
            _load_estimate(upstream, catalog.data_centre_of(upstream))
            for upstream in catalog.all('upstream')
            if upstream.role is not settings.Role.SERVICE
        )
        for name in self._core.load_reports.held():
            estimate = self.estimates.get(name)
            if estimate is not None:
                estimate.held = True

    def admit(self, message):
        """Admits a job.

        Args:
            message: An Admit message.

        Raises:
            Unready: If this instance accepts no new work, or stops before
                the job must have ended.
            DandelionwinchError: If a limit refuses the job.
        """
        core = self._core
        reason = core.unready_reason()
        if reason:
            raise errors.Unready(reason, retry_after_s=1.0)
        now = core.now()
        if now + self._limit_s(message.target) > core.stop_at:
            raise errors.Unready(
                'the job may not end before this instance stops',
                retry_after_s=1.0,
            )
        team = self._team(message.team)
        self.admission.admit(
            team,
            self._active_weight(team),
            len(core.members.usable(now)),
            now,
        )
        record = jobs.JobRecord(
            message.job_id, message.team, message.target, now
        )
        self.job_history.add(record)
        core.metrics.running.set(self.admission.jobs)
        core.event('job.admitted', message.job_id, message.target)

    def _limit_s(self, target):
        """Returns the seconds after which a job of a target has ended."""
        cfg = self._core.cfg
        service = self._core.catalog.get('service', target)
        if service is None:
            return cfg.relay.deadline_s
        if service.repeat is settings.Repeat.ONCE:
            return service.deadline_s + cfg.claims.send_window_s
        return service.deadline_s

    def _team(self, name):
        return self._core.catalog.get('team', name) or settings.Team(
            name='default'
        )

    def _active_weight(self, team):
        """Returns the total weight of a team and of all busy teams."""
        names = set(self.admission.busy_teams()) | {team.name}
        return sum(self._team(name).weight for name in names)

    async def place(self, message):
        """Places a completion, by the placement owner if there is one.

        Args:
            message: A PlaceCompletion message.

        Returns:
            A Placement.

        Raises:
            NotFound: If the model does not exist.
            NoUpstream: If no upstream can start the job in time, or it is
                a retry and the budget is spent.
        """
        core = self._core
        job = message.job
        model = core.catalog.get('model', job.model)
        if model is None:
            raise errors.NotFound(f'model "{job.model}" does not exist')
        query = placement.Query(
            job.model,
            job.prompt_tokens,
            job.max_tokens,
            job.prefix,
            message.exclude,
        )
        choice = await core.placement_router.choose(query)
        now = core.now()
        if isinstance(choice, placement.Refusal):
            pools = core.catalog.pools_of_model(job.model)
            self._record_refused_demand(pools, job, now)
            raise errors.NoUpstream(
                choice.reason, retry_after_s=choice.retry_after_s
            )
        if message.is_retry and not self._spend_retry(
            message.job_id, job.model
        ):
            raise errors.NoUpstream('no retries are left')
        self._record_placement(message, choice, now)
        return self._placement_reply(choice, model)

    def place_locally(self, query):
        """Places a job of this data centre by the local load estimates.

        The placement owner runs it for its peers, and every instance for its
        own jobs if no owner can be used; see PlacementRouter.

        Returns:
            A placement.Choice or placement.Refusal.
        """
        core = self._core
        now = core.now()
        model = core.catalog.get('model', query.model)
        if model is None:
            return placement.Refusal(
                f'model "{query.model}" does not exist', 1.0
            )
        demand = placement.Demand(
            data_centre=core.data_centre,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            prefix=query.prefix,
            # A Query does not have the length of the prefix, and no more than
            # the whole prompt can be cached.
            prefix_tokens=query.prompt_tokens,
            max_wait_s=MAX_WAIT_S,
            gap_s=model.token_gap_s,
            exclude=query.exclude,
        )
        self.placer.set_peer_rates(core.heartbeats.peer_rates(now))
        pools = core.catalog.pools_of_model(query.model)
        return self.placer.place(
            demand,
            _candidates.candidate_pools(
                core.catalog, core.data_centre, pools, query
            ),
            now,
        )

    def accepts_jobs(self, name):
        """Tells whether an upstream is configured, active and not held."""
        core = self._core
        upstream = core.catalog.get('upstream', name)
        if upstream is None:
            return False
        active = upstream.state is settings.UpstreamState.ACTIVE
        return active and not core.load_reports.is_held(name)

    def _record_placement(self, message, choice, now):
        """Records a placement and its reasons (`terms`), for operators.

        Without a decode upstream in the choice, no upstream had capacity to
        decode, and the prefill upstream runs the whole job.
        """
        record = self.job_history.get(message.job_id)
        job = message.job
        if record is not None:
            record.upstream = choice.decode or choice.prefill
            record.prefill_upstream = choice.prefill
            record.attempts += 1
            record.terms.append(
                f'prefill on "{choice.prefill}", decode on '
                f'"{choice.decode}": {choice.terms}'
            )
        upstream = self._core.catalog.get('upstream', choice.prefill)
        pool = self._core.catalog.get('pool', upstream.pool)
        tokens = job.prompt_tokens - choice.hit_tokens
        self._trend(pool).add(tokens, job.max_tokens, now)
        self._core.event('job.placed', message.job_id, choice.decode)

    def _trend(self, pool):
        trend = self.trends.get(pool.name)
        if trend is None:
            horizon_s = self._core.catalog.policy_of(pool).horizon_s
            trend = self.trends[pool.name] = placement.Trend(horizon_s / 2)
        return trend

    def _record_refused_demand(self, pools, job, now):
        """Adds a refused job to the demand of a local pool of its model.

        If there is none, the first pool counts. Without refused jobs, the
        demand of a full pool would never exceed its capacity.
        """
        nearby = [
            p for p in pools if p.data_centre == self._core.data_centre
        ] or pools
        if nearby:
            self._trend(nearby[0]).add(job.prompt_tokens, job.max_tokens, now)

    def _placement_reply(self, choice, model):
        """Returns the messages.Placement of a choice.

        The prefill upstream also decodes if the choice has no other.
        """
        catalog = self._core.catalog
        decode = catalog.get('upstream', choice.decode or choice.prefill)
        prefill = catalog.get('upstream', choice.prefill)
        is_split = choice.prefill != decode.name
        return messages.Placement(
            upstream=decode.name,
            address=decode.address,
            prefill_upstream=prefill.name if is_split else '',
            prefill_address=prefill.address if is_split else '',
            token_gap_s=model.token_gap_s,
            first_token_s=max(choice.first_token_s, model.first_token_s),
        )

    def place_service(self, message):
        """Ranks the upstreams of a plain service.

        Args:
            message: A PlaceService message.

        Returns:
            A ServicePlacement with the best upstream first.

        Raises:
            NotFound: If the service does not exist.
            NoUpstream: If no upstream takes work.
        """
        core = self._core
        service = core.catalog.get('service', message.service)
        if service is None:
            raise errors.NotFound(
                f'service "{message.service}" does not exist'
            )
        now = core.now()
        ranked = []
        for pool in core.catalog.pools_of_service(service.name):
            for upstream in core.catalog.upstreams_of(pool.name):
                if not self.accepts_jobs(upstream.name):
                    continue
                # An upstream in backoff is the last resort, not excluded.
                unavailable = core.load_reports.is_unavailable(
                    upstream.name, now
                )
                # Spreads jobs over upstreams of the same preference.
                tie_breaker = zlib.crc32(
                    f'{message.job_id}{upstream.name}'.encode()
                )
                rank = (
                    unavailable,
                    pool.data_centre != core.data_centre,
                    tie_breaker,
                )
                ranked.append((rank, upstream))
        if not ranked:
            raise errors.NoUpstream(
                f'no upstream of service "{service.name}" takes work',
                retry_after_s=1.0,
            )
        ranked.sort(key=lambda pair: pair[0])
        upstreams = tuple(upstream for _rank, upstream in ranked)
        record = self.job_history.get(message.job_id)
        if record is not None:
            record.begin_attempt(upstreams[0].name)
        return messages.ServicePlacement(service, upstreams)

    def begin_attempt(self, message):
        """Begins a further attempt of a call that was placed before.

        Args:
            message: A BeginAttempt message.

        Returns:
            False if the upstream accepts no jobs any more.
        """
        if not self.accepts_jobs(message.upstream):
            return False
        record = self.job_history.get(message.job_id)
        if record is not None:
            record.begin_attempt(message.upstream)
        return True

    def upstream_failed(self, message):
        """Records a failure of an upstream and starts its backoff."""
        core = self._core
        now = core.now()
        self.estimates.record_failure(message.upstream, now)
        core.load_reports.back_off(message.upstream, now)
        record = self.job_history.get(message.job_id)
        if record is not None:
            record.terms.append(
                f'upstream "{message.upstream}" failed: {message.reason}'
            )
        core.event('upstream.failed', message.upstream, message.reason)

    def _retry_budget(self, target):
        budget = self._retry_budgets.get(target)
        if budget is None:
            budget = limits.RetryBudget(self._core.cfg.relay.retry_share)
            self._retry_budgets[target] = budget
        return budget

    def retry(self, message):
        """Takes a retry from the budget of its target.

        Args:
            message: A Retry message.

        Returns:
            False if the budget is spent.
        """
        return self._spend_retry(message.job_id, message.target)

    def _spend_retry(self, job_id, target):
        allowed = self._retry_budget(target).spend()
        if allowed:
            self._core.metrics.retries.inc()
        self._core.event(
            'job.retried' if allowed else 'job.retry_refused', job_id, target
        )
        return allowed

    def finish(self, message):
        """Records the end of a job and, if it was delivered, its earnings."""
        core = self._core
        record = self.job_history.end(
            message.job_id, message.state, message.code, core.now()
        )
        if record is None:
            return
        record.tokens = message.tokens
        team = self._team(record.team)
        self.admission.release(team.name)
        core.metrics.running.set(self.admission.jobs)
        core.metrics.jobs.labels(message.state, message.code).inc()
        if message.state == 'done':
            self._retry_budget(record.target).record_success()
            core.load_reports.reset_backoff(record.upstream)
            core.metrics.tokens.inc(message.tokens)
            core.earnings.record_job(record, message.tokens)
        core.event(f'job.{message.state}', record.id, message.code)

    def demands(self, now):
        """Returns the demand at this instance by pool, as Trend.rates()."""
        return {pool: trend.rates(now) for pool, trend in self.trends.items()}


def _load_estimate(upstream, data_centre):
    return placement.LoadEstimate(
        name=upstream.name,
        data_centre=data_centre,
        role=upstream.role,
        prefill_rate=upstream.prefill_tokens_per_s,
        decode_rate=upstream.decode_tokens_per_s,
        kv_capacity=upstream.kv_tokens,
        max_batch=upstream.max_batch,
    )
