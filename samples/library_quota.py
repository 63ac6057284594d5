"""Share ten slots out between two instances with no daemon: leased quota."""

import time

from sassafrasdoor import settings
from sassafrasdoor.admission.allocator import Allocator
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.table.rows import Row

HASHES = ["0" * 64]
trainer = Row(name="t", kind="trainer", service="s", model="m", key_hashes=HASHES)
gate = Row(name="gate", kind="application", service="s", limit=0.4, key_hashes=HASHES)
allocator = Allocator(settings.from_document({"admission": {"grant_duration": 0.5}}))
allocator.take_over(fence=1, expected=["a", "b"])
allocator.plan([trainer, gate], capacity=10)
wanted, numbers = {"a": "t", "b": "gate"}, {"a": 0, "b": 0}
time.sleep(0.5)  # until the grants of an earlier holder have lapsed
for _ in range(3):
    for name, row in wanted.items():
        report = Report(name, "life-1", numbers[name], {row: Usage(wanted=10)})
        grants = allocator.report(report)
        numbers[name] = grants.number
        print(name, "may use", grants.slots, "and later", grants.fallback)
    time.sleep(0.2)
