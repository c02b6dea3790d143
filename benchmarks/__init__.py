"""Benchmarks; ``make bench`` and ``make capacity`` run them."""
