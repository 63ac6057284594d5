"""A trainer's measurements of a step."""


class Report:
    """A trainer's measurements of a step; times in seconds.

    ``idle`` is the time spent waiting for samples of the incomplete step; ``staleness``
    counts delivered samples by the number of versions between their oldest tokens and
    the newest version known on arrival.
    """

    __slots__ = (
        "attachments",
        "counts",
        "duplicates",
        "duration",
        "idle",
        "samples",
        "staleness",
        "too_old_on_arrival",
    )

    def __init__(self):
        self.attachments = 0
        self.counts = {}
        self.duplicates = 0
        self.duration = 0.0
        self.idle = 0.0
        self.samples = 0
        self.staleness = {}
        self.too_old_on_arrival = 0

    @property
    def mean_staleness(self):
        """Mean staleness in versions, 0 without samples."""
        total = sum(behind * count for behind, count in self.staleness.items())
        return total / self.samples if self.samples else 0.0

    def as_dict(self):
        """Return the report JSON-ready."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return {**fields, "mean_staleness": self.mean_staleness}
