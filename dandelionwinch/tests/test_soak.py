"""A short soak of real processes, and the seeds that ever failed."""

import pytest

from dandelionwinch import soak
from dandelionwinch.soak import _process
from dandelionwinch.soak import _run

# Seeds that failed once stay here, each with its cause:
# 127: an instance that was cut off, paused and cut off again was judged by
# the bound for instances that reach the store.
CASES = ((7, 5.0, 3, 4), (127, 12.0, 6, 12))


@pytest.mark.parametrize(('seed', 'for_s', 'instances', 'callers'), CASES)
def test_real_instances_keep_their_promises_under_faults(
    seed, for_s, instances, callers
):
    result = soak.run(seed, for_s, instances=instances, callers=callers)
    assert result.broken == []
    assert result.statuses.get(200, 0) > 0
    assert sum(result.faults.values()) > 2
    assert len(result.timeline) >= sum(result.faults.values())


@pytest.mark.parametrize(
    ('front', 'end', 'broken'),
    [
        ('a', 10.0, 0),
        ('a', 10.0 - _run.CONTACT_S - 0.1, 1),
        ('b', 10.0, 1),
        ('', 10.0, 1),
    ],
)
def test_only_instances_that_were_cut_off_may_know_late(
    tmp_path, front, end, broken
):
    judged = _run._Soak(1, 1, 1, tmp_path)
    judged._seen.sent_to['safe-1'] = 'a'
    judged._cuts.append(_run._Cut(front, 1.0, end))
    judged._record.late.append(('safe-1', 10.0))
    assert len(judged._judge().broken) == broken
    judged._lock.close()


def test_two_soaks_at_once_have_blocks_of_their_own():
    """Seed 141 did not start: another soak had the same addresses."""
    first, block = _process.own_block()
    second, other = _process.own_block()
    assert block != other
    first.close()
    second.close()
