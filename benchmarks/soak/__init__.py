"""A soak test of real dispatcher processes: everything is drawn from a seed, and judged by the workers and clients.

.venv/bin/python -m benchmarks.soak --seeds 1-50 --parallel 4
"""
