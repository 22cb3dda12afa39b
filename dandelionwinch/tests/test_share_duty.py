"""Tests of the fair shares that the holder announces."""

import asyncio

import attrs

from dandelionwinch.control import _share_duty


class _FairSharing:
    def __init__(self):
        self.announced = []

    def announce(self, token):
        self.announced.append(token)


@attrs.frozen
class _Authority:
    token: int = 7


def test_the_holder_announces_shares_with_its_token():
    fair_sharing = _FairSharing()
    duty = _share_duty.ShareDuty(fair_sharing)
    asyncio.run(duty.perform(_Authority()))
    assert fair_sharing.announced == [7]
