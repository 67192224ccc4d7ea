"""Lines through measured points."""

from __future__ import annotations

from dataclasses import dataclass

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted to points.

    Args:
        slope: change of the value for one more of the size.
        intercept: value at size 0.
        r2: share of the variance that the line explains.
        points: that were measured.
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
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    spread_y = sum((y - mean_y) ** 2 for _, y in points)
    both = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = both / spread_x if spread_x else 0.0
    explained = both**2 / (spread_x * spread_y) if spread_x and spread_y else 1.0
    return Line(slope, mean_y - slope * mean_x, explained, tuple(points))
