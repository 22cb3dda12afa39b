"""Tests of the fair shares that the holder announces."""

import asyncio

import attrs

from dandelionwinch.control import _share_duty


@attrs.define
class _Totals:
    by_window: dict
    window_s: float = 5.0

    def counts(self, window):
        return dict(self.by_window.get(window, {}))


@attrs.define
class _Sharing:
    totals: _Totals
    at: float

    def now(self):
        return self.at


class _FairSharing:
    def __init__(self):
        self.announced = []

    def announce(self, served, token):
        self.announced.append((served, token))


@attrs.frozen
class _Authority:
    token: int = 7


def test_the_rates_rest_on_the_running_and_the_last_window():
    """A window that has just begun said nothing of the teams alone."""
    totals = _Totals({19: {'a': 50, 'b': 5}, 20: {'a': 10}, 18: {'a': 900}})
    found = _share_duty.served_per_s(totals, 101.0)
    assert found == {'a': 10.0, 'b': 5 / 6}


def test_the_holder_announces_shares_with_its_token():
    fair_sharing = _FairSharing()
    sharing = _Sharing(_Totals({19: {'a': 50}}), 100.0)
    duty = _share_duty.ShareDuty(sharing, fair_sharing)
    asyncio.run(duty.perform(_Authority()))
    assert fair_sharing.announced == [({'a': 10.0}, 7)]
