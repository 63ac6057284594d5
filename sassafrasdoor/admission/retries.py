"""A budget for retries, so that failures do not multiply the load.

When every call fails and each is tried three times, backend servers get three
times the load at the worst moment. Retries here are paid from what ordinary
calls earn.
"""

MAX_SAVED = 10.0


class RetryBudget:
    """Each call earns ``ratio`` of a retry; a retry costs one."""

    __slots__ = ("_ratio", "_saved")

    def __init__(self, settings):
        self._ratio = settings.admission.retry_budget
        self._saved = MAX_SAVED if self._ratio else 0.0

    def earned(self):
        """Count a first try."""
        self._saved = min(MAX_SAVED, self._saved + self._ratio)

    def spend(self):
        """Take one retry from the budget; say whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
