"""Report a window once although two holders fix it: the usage ledger."""

from sassafrasdoor.duties.usage import UsageLedger, began_record, fixed_record

log = [
    began_record("a/1", 1, {7: {"gate": 3}}),
    began_record("b/1", 1, {7: {"gate": 1}}),
]
log += [log[0]]  # an append whose reply was lost is repeated
holders = [UsageLedger(length=5.0), UsageLedger(length=5.0)]
for record in log:
    holders[0].fold(record)
log.append(fixed_record(7, holders[0].began(7)))
log += [began_record("b/1", 2, {7: {"gate": 5}}), fixed_record(7, {"gate": 9})]
for record in log:
    holders[1].fold(record)
print("to be reported:", holders[1].fixed(7), "windows:", holders[1].unsent(8, 7))
