"""Measures how the cost of each role grows with the size of the installation, and estimates the cost at the target.

`python -m benchmarks.capacity` measures real `badgerroad serve` processes on loopback at four or more sizes of each
quantity, fits a line to each, and writes the results, the tables and the chart of `docs/CAPACITY.md`.
"""
