"""The delivery token on its own: which samples of a step a trainer has."""

from sassafrasdoor.steps.token import DeliveryToken

trainer = DeliveryToken(size=1024)
for position in (0, 1, 5):
    trainer.add(position)
text = trainer.encode()
owner_sees = DeliveryToken.parse(text, size=1024)
print(len(owner_sees), "of", owner_sees.size, "in", owner_sees.byte_count, "bytes")
print("next to send:", owner_sees.missing()[:4])
