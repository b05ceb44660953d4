"""Plots of the policy benchmark; requires matplotlib (extra `plot`)."""

import collections
import math
from typing import NamedTuple

import matplotlib

from bench import workload

__all__ = ["draw"]


def draw(results: list[NamedTuple], path: str, highlighted: str) -> None:
    """Plots time to first token and slowdown against load to a PNG file.

    Args:
        results: Results of `bench.policy`; only those without failures are
            plotted.
        path: File to write.
        highlighted: Name of the policy that gets a thicker line.
    """
    matplotlib.use("Agg")
    # The backend must be selected before pyplot is imported.
    from matplotlib import pyplot  # pylint: disable=import-outside-toplevel

    rows = len(workload.DEPLOYMENTS)
    figure, axes = pyplot.subplots(rows, 2, figsize=(11, 4 * rows))
    for index, deployment in enumerate(workload.DEPLOYMENTS):
        lines: dict[str, list] = collections.defaultdict(list)
        for result in results:
            is_plain = result.case.scenario.name == "plain"
            if result.case.deployment == index and is_plain:
                lines[result.case.policy].append(result)
        for name, points in lines.items():
            _draw_line(
                axes[index], name, points, 2.5 if name == highlighted else 1.0
            )
        axes[index][0].set_title(
            f"{deployment.name}: first token, <= 8,000 tokens"
        )
        axes[index][0].set_ylabel("seconds, 95th percentile")
        axes[index][1].set_title(f"{deployment.name}: slowdown, short requests")
        axes[index][1].set_ylabel("factor, 95th percentile")
        for axis in axes[index]:
            axis.set_yscale("log")
            axis.set_xlabel("load, fraction of capacity")
        axes[index][1].legend(fontsize="x-small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def _draw_line(
    axes: list, name: str, points: list[NamedTuple], width: float
) -> None:
    points = sorted(points, key=lambda result: result.case.load)
    loads = [result.case.load for result in points]
    for axis, values in (
        (axes[0], [r.measures.short_first_token_p95 for r in points]),
        (axes[1], [r.slowdown_p95 for r in points]),
    ):
        drawn = [value if math.isfinite(value) else None for value in values]
        axis.plot(loads, drawn, marker="o", linewidth=width, label=name)
