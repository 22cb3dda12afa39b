"""Plots a run of the mix bench; needs the optional extra "plots"."""

from dandelionwinch import errors


def draw(trace, results, path):
    """Writes a plot of load, goodput and roles over time.

    Args:
        trace: The Trace.
        results: Results of one or more policies.
        path: File to write; its suffix decides the format.

    Raises:
        BadRequest: If the plotting library is not installed.
    """
    try:
        import matplotlib
    except ImportError as exc:
        raise errors.BadRequest(
            'plots need the optional extra: pip install '
            '"dandelionwinch[plots]"'
        ) from exc
    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, figsize=(9, 8), sharex=True)
    _draw_load(axes[0], results[0].samples)
    for result in results:
        _draw_result(axes[1], axes[2], result)
    axes[0].set_ylabel('tokens/s arriving')
    axes[1].set_ylabel('good tokens/s')
    axes[2].set_ylabel('prefill upstreams')
    axes[2].set_xlabel('seconds')
    for axis in axes:
        axis.legend(loc='upper right', fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _draw_load(axis, samples):
    period_s = _period_s(samples)
    times = [sample.at_s for sample in samples]
    axis.plot(
        times,
        [sample.prompt_tokens / period_s for sample in samples],
        label='prompt',
    )
    axis.plot(
        times,
        [sample.output_tokens / period_s for sample in samples],
        label='output',
    )
    axis.set_yscale('log')


def _draw_result(goodput, roles, result):
    samples = result.samples
    period_s = _period_s(samples)
    times = [sample.at_s for sample in samples]
    good = [sample.goodput_tokens / period_s for sample in samples]
    goodput.plot(times, good, label=result.policy, linewidth=1)
    label = f'{result.policy} ({result.role_changes} changes)'
    upstreams = [sample.prefill_upstreams for sample in samples]
    roles.step(times, upstreams, label=label, linewidth=1)


def _period_s(samples):
    return samples[0].at_s if samples else 1.0
