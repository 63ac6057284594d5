"""Selects the samples of a fetch reply immediately before it is written."""

from sassafrasdoor.clock import now
from sassafrasdoor.steps.resources import SAMPLE_EVENTS
from sassafrasdoor.steps.token import DeliveryToken


class Delivery:
    """Delivers a step's ready samples; ``build_reply`` never yields to the event loop.

    After a lost reply the trainer sends the same token again and receives the same
    samples.
    """

    __slots__ = ("_last_positions", "_last_token", "_owner", "_sent", "_settings")

    def __init__(self, settings, owner):
        self._settings = settings.steps
        self._owner = owner
        self._last_positions = []
        self._last_token = None
        self._sent = DeliveryToken(owner.spec.sample_count)

    def select_positions(self, token):
        """Return the positions of the samples to send for ``token``.

        Samples with the oldest weights go first, as they exceed the staleness bound
        first.
        """
        owner = self._owner
        owner.drop_stale_samples()
        if token == self._last_token:
            repeated = [
                position for position in self._last_positions if position in owner.ready
            ]
            if repeated:
                return repeated
        ready = list(owner.ready.values())
        ready.sort(key=lambda sample: (sample.attempt.oldest, sample.position))
        return [sample.position for sample in ready[: self._settings.batch_size]]

    def is_version_confirmed(self, view, fetch, arrived_at):
        """Return whether the newest version is recent enough to check staleness.

        A view that was not confirmed for ``view_confirm`` may miss announcements, and a
        paused process does not notice its pause. Then only a version that the trainer
        stated within that time is sufficient.
        """
        max_age = self._settings.view_confirm
        stated = fetch.newest_version is not None and now() - arrived_at <= max_age
        return stated or view.age <= max_age

    def build_reply(self, token, positions):
        """Return the reply with the samples at ``positions``, JSON-ready."""
        owner = self._owner
        self._last_positions, self._last_token = positions, token
        self._record_delivery(positions)
        next_token = token.union(positions)
        return {
            "samples": [
                self._sample_document(owner.ready[position]) for position in positions
            ],
            "token": next_token.encode(),
            "remaining": next_token.size - len(next_token),
            "staleness_bound": owner.row.staleness_bound,
            "newest_version": owner.newest(),
            "counts": owner.counts.as_dict(),
            "moved": owner.stopping,
            "expired": owner.is_expired,
        }

    def _record_delivery(self, positions):
        counts, row = self._owner.counts, self._owner.row.name
        new_count = sum(self._sent.add(position) for position in positions)
        counts.delivered += new_count
        counts.redelivered += len(positions) - new_count
        SAMPLE_EVENTS.add({"kind": "delivered", "row": row}, new_count)
        SAMPLE_EVENTS.add(
            {"kind": "redelivered", "row": row}, len(positions) - new_count
        )

    def _sample_document(self, sample):
        group, index = self._owner.identity.place(sample.position)
        document = {
            "group": group,
            "index": index,
            "text": sample.attempt.text,
            "spans": [span.as_list() for span in sample.attempt.spans],
            "oldest_version": sample.attempt.oldest,
        }
        if self._owner.spec.groups[group].reward is not None:
            document["score"] = sample.score
        return document
