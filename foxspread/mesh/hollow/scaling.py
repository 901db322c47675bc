"""Fits power laws to figures measured at several sizes and extrapolates them to a larger size.

This module does no I/O.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PowerLaw:
    """The law `at_one` x size ** `power`."""

    at_one: float
    power: float

    def at(self, size: float) -> float:
        """Returns the figure at this size."""
        return self.at_one * math.pow(size, self.power)


def fit_power_law(figures: Mapping[int, float]) -> PowerLaw | None:
    """Fits a power law to figures by size, by least squares of the logarithms.

    Returns None where fewer than two sizes have a figure above zero, which is too little to extrapolate.
    """
    points = [(math.log(size), math.log(value)) for size, value in figures.items() if value > 0]
    if len(points) < 2:
        return None
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    power = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return PowerLaw(math.exp(mean_y - power * mean_x), power)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Returns the smallest value that this fraction of the values does not exceed; nan if there are none."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, math.ceil(fraction * len(ordered)) - 1))]


def format_table(figures: Mapping[str, Mapping[int, float]], target: int) -> list[str]:
    """Returns a table with a line for each figure.

    A line has the figure at each size, the power of its growth, and its extrapolation to the size `target`.
    """
    sizes = sorted({size for each in figures.values() for size in each})
    rows = [["", *map(str, sizes), "power", f"on paper {target}"]]
    for name, by_size in figures.items():
        law = fit_power_law(by_size)
        extrapolation = ["-", "-"] if law is None else [f"{law.power:.2f}", format_figure(law.at(target))]
        measured = (format_figure(by_size[size]) if size in by_size else "-" for size in sizes)
        rows.append([name, *measured, *extrapolation])
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return ["  ".join(_align(row, widths)).rstrip() for row in rows]


def _align(row: Sequence[str], widths: Sequence[int]) -> list[str]:
    """Returns the cells padded to these widths, the first aligned left and the others right."""
    figures = zip(row[1:], widths[1:], strict=True)
    return [row[0].ljust(widths[0]), *(text.rjust(width) for text, width in figures)]


def format_figure(value: float) -> str:
    """Returns the value rounded to three significant digits; "-" for nan."""
    if math.isnan(value) or value == 0:
        return "-" if math.isnan(value) else "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    return f"{round(value, digits):,.{max(0, digits)}f}"
