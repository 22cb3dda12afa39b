"""The mix bench: its traces, its baselines and what the policy achieves."""

import attrs
import pytest

from dandelionwinch.bench import _herding
from dandelionwinch.bench import _simulation
from dandelionwinch.bench import _trace
from dandelionwinch import errors
from dandelionwinch.tools import bench


def _read_shipped(name, **changes):
    trace = _trace.read_trace(bench.TRACES / f'{name}.yaml')
    return attrs.evolve(trace, **changes)


def test_six_traces_ship_and_are_valid():
    names = sorted(path.stem for path in bench.TRACES.glob('*.yaml'))
    assert names == ['burst', 'drift', 'faults', 'sawtooth', 'steady', 'step']
    for name in names:
        assert _read_shipped(name).phases


def test_all_findings_of_a_trace_come_together(tmp_path):
    path = tmp_path / 'trace.yaml'
    path.write_text(
        'duration_s: 10\n'
        'pools: [{data_centre: a, prefill: 1, decode: -1}]\n'
        'phases: [{start_s: 0, requests_per_s: 1, prompt_tokens: 0, '
        'output_tokens: 5, shared: 1}]\n'
    )
    with pytest.raises(errors.SettingsInvalid) as caught:
        _trace.read_trace(path)
    text = str(caught.value)
    assert '$.pools[0].decode' in text
    assert '$.phases[0].prompt_tokens' in text
    assert 'unknown key: shared' in text


def test_impossible_traces_are_refused(tmp_path):
    path = tmp_path / 'trace.yaml'
    path.write_text(
        'duration_s: 10\n'
        'pools: [{data_centre: a, prefill: 1}]\n'
        'phases: [{start_s: 1, requests_per_s: 1, prompt_tokens: 1, '
        'output_tokens: 5}]\n'
        'faults: [{at_s: 99, kind: upstream_crash, upstream: 7}]\n'
    )
    with pytest.raises(errors.SettingsInvalid) as caught:
        _trace.read_trace(path)
    assert len(caught.value.findings) == 4


def test_same_seed_gives_the_same_result():
    trace = _read_shipped('step', duration_s=20.0)
    first = _simulation.simulate(trace, 'step', 'hire', 3)
    assert first == _simulation.simulate(trace, 'step', 'hire', 3)


def test_all_policies_get_the_same_arrivals():
    trace = _read_shipped('faults', duration_s=20.0, faults=[])
    jobs = {
        _simulation.simulate(trace, 'faults', name, 1).jobs
        for name in ('hire', 'nominations', 'static', 'ideal_shortest')
    }
    assert len(jobs) == 1


def test_no_policy_exceeds_the_bound():
    trace = _read_shipped('burst', duration_s=60.0)
    for name in ('hire', 'static', 'ideal_shortest'):
        result = _simulation.simulate(trace, 'burst', name, 1)
        bound = result.goodput_bound_tokens_per_s
        assert result.goodput_tokens_per_s <= bound


def test_steady_load_changes_no_role():
    trace = _read_shipped('steady', duration_s=120.0)
    for name in ('hire', 'nominations'):
        result = _simulation.simulate(trace, 'steady', name, 1)
        assert result.role_changes == 0
        assert result.jobs_in_slo >= 0.99 * result.jobs


def test_sawtooth_goodput_reaches_its_target():
    trace = _read_shipped('sawtooth', duration_s=260.0)
    result = _simulation.simulate(trace, 'sawtooth', 'hire', 1)
    bound = result.goodput_bound_tokens_per_s
    assert result.goodput_tokens_per_s >= 0.90 * bound
    assert result.role_changes <= 2 * 2 * 2


def test_twice_the_load_keeps_goodput():
    phase = _trace.Phase(
        start_s=0,
        requests_per_s=55,
        prompt_tokens=1500,
        output_tokens=380,
        shared_prefix=0.4,
    )
    full = _read_shipped('steady', duration_s=120.0, phases=[phase])
    twice = attrs.evolve(phase, requests_per_s=110)
    doubled = attrs.evolve(full, phases=[twice])
    at_full = _simulation.simulate(full, 'full', 'hire', 1)
    at_double = _simulation.simulate(doubled, 'double', 'hire', 1)
    assert at_double.goodput_tokens_per_s >= (
        0.9 * at_full.goodput_tokens_per_s
    )
    assert at_double.refused > 0


def test_many_instances_do_not_herd_onto_one_upstream():
    def busiest(instances):
        trace = attrs.evolve(
            _herding.TRACE, instances=instances, duration_s=40.0
        )
        result = _simulation.simulate(trace, 'herding', 'hire', 1)
        return result.busiest_queue

    assert busiest(60) <= 1.5 * busiest(1)
