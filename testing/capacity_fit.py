#!/usr/bin/env python3
"""Fits planes to the figures of idle fleets and gives their values at the size to design for.

    python3 -B testing/capacity.py --build=build idle > idle.txt
    python3 -B testing/capacity_fit.py idle.txt

Each line is base + slope x agents + slope x entries, with the largest residual, which shows a
disturbed run.
"""

import json
import sys

TARGET_AGENTS = 850
TARGET_ENTRIES = 420


def solve(matrix, vector):
    """Gauss-Jordan elimination. Raises ZeroDivisionError when the sizes do not span a plane."""
    rows = [row[:] + [value] for row, value in zip(matrix, vector)]
    for i, _ in enumerate(rows):
        pivot = max(range(i, len(rows)), key=lambda k: abs(rows[k][i]))
        rows[i], rows[pivot] = rows[pivot], rows[i]
        for k, row in enumerate(rows):
            if k != i:
                factor = row[i] / rows[i][i]
                rows[k] = [x - factor * y for x, y in zip(row, rows[i])]
    return [row[-1] / row[i] for i, row in enumerate(rows)]


def fit_plane(points):
    """Least squares over (agents, entries, value). Returns base, per agent, per entry, residual."""
    inputs = [(1, agents, entries) for agents, entries, _ in points]
    values = [value for _, _, value in points]
    matrix = [[sum(x[i] * x[j] for x in inputs) for j in range(3)] for i in range(3)]
    vector = [sum(x[i] * value for x, value in zip(inputs, values)) for i in range(3)]
    plane = solve(matrix, vector)
    residual = max(abs(sum(a * b for a, b in zip(plane, x)) - value)
                   for x, value in zip(inputs, values))
    return (*plane, residual)


def varies(points, field):
    return len({point[field] for point in points}) > 1


def fit(path):
    """Prints a plane for each figure that was taken at enough sizes."""
    with open(path, encoding="utf-8") as file:
        runs = [json.loads(line) for line in file if line.startswith('{"measurement": "idle"')]
    if not runs:
        raise SystemExit(f"{path}: no lines of idle")
    for part, values in runs[0].items():
        for name in values if isinstance(values, dict) else ():
            points = [(run["agents"], run["entries"], run[part][name]) for run in runs
                      if part in run]
            if len(points) < 3 or not varies(points, 0) or not varies(points, 1):
                continue
            base, agent, entry, residual = fit_plane(points)
            target = base + agent * TARGET_AGENTS + entry * TARGET_ENTRIES
            print(f"{part} {name}: {base:.5g} + {agent:.5g} x agents + {entry:.5g} x entries, "
                  f"residual {residual:.3g}, at the target {target:.6g}")


if __name__ == "__main__":
    if len(sys.argv) != 2:
        raise SystemExit("usage: capacity_fit.py FILE")
    fit(sys.argv[1])
