"""Makes Hypothesis generate the same examples in each run, so that CI results are reproducible."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")
