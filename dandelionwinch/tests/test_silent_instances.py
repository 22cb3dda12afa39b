"""Instances that the others do not hear for 3 s, and that go on."""

import asyncio

import pytest

from dandelionwinch.tests import test_usage
from dandelionwinch.tests import usage_harness

SILENT_S = 3.0
# Earliest time after its last renewal but one at which an entry lapses.
LAPSED_S = 2.7


@pytest.mark.parametrize('begun_s', [2.0, 3.5, 4.0])
@pytest.mark.parametrize('back_s', [0.0, 2.5])
def test_requests_of_a_silent_instance_are_reported(begun_s, back_s):
    """Its entry lapsed, and its window was reported without its last total.

    Up to 10 of its requests were missing in the report.
    """

    async def scenario(site):
        loop = asyncio.get_running_loop()
        await site.serve(10.0 + begun_s)
        site.network.cut_off.add(site.addresses['i4'])
        loop.call_later(LAPSED_S, site.registered.discard, 'i4')
        loop.call_later(SILENT_S, site.network.cut_off.clear)
        loop.call_later(SILENT_S + back_s, site.registered.add, 'i4')
        await site.serve(14.0)
        await test_usage.settle(site)
        site.check(test_usage.full_windows(site))

    usage_harness.run(scenario)
