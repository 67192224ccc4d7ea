"""Fits straight lines to measured points."""

from __future__ import annotations

from dataclasses import dataclass

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted to points.

    Args:
        slope: change of the value per unit of the size.
        intercept: the value at size 0.
        r2: fraction of the variance that the line explains.
        points: the measured points.
    """

    slope: float
    intercept: float
    r2: float
    points: tuple[Point, ...]

    def at(self, size: float) -> float:
        """Return the value on the line at `size`."""
        return self.intercept + self.slope * size


def fit_line(points: list[Point]) -> Line:
    """Fit a line by least squares.

    Examples:
        >>> fit_line([(1, 3.0), (2, 5.0), (3, 7.0)]).slope
        2.0
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_x = sum((x - mean_x) ** 2 for x, _ in points)
    variance_y = sum((y - mean_y) ** 2 for _, y in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / variance_x if variance_x else 0.0
    explained = (
        covariance**2 / (variance_x * variance_y) if variance_x and variance_y else 1.0
    )
    return Line(slope, mean_y - slope * mean_x, explained, tuple(points))
