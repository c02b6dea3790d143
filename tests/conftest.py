"""Shared fixtures and profiles."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    'nightly',
    max_examples=2000,
    stateful_step_count=60,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
