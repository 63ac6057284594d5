"""A retry budget, so that retries of failed calls don't multiply the load.

Each first try adds a fraction of a retry to the budget; each retry takes one.
"""

MAX_BALANCE = 10.0  # retries


class RetryBudget:
    """A token bucket: a first try adds ``ratio`` tokens, a retry takes one.

    ``ratio`` is for programs whose settings have no section for admission.
    """

    __slots__ = ("_balance", "_ratio")

    def __init__(self, settings=None, *, ratio=None):
        self._ratio = settings.admission.retry_budget if ratio is None else ratio
        self._balance = MAX_BALANCE if self._ratio else 0.0

    def deposit(self):
        """Add the tokens of a first try."""
        self._balance = min(MAX_BALANCE, self._balance + self._ratio)

    def try_withdraw(self):
        """Take the token of one retry; return whether there was one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
