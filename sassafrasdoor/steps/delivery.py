"""What one fetch is answered with, decided right before the bytes leave."""

from sassafrasdoor.clock import now
from sassafrasdoor.steps.resources import EVENTS_TOTAL
from sassafrasdoor.steps.token import DeliveryToken


class Delivery:
    """Hands out a step's ready samples; ``batch`` never yields to the loop.

    A reply that was lost is repaired by the trainer, which presents the same
    token again and gets the same samples again.
    """

    __slots__ = ("_last", "_last_token", "_owner", "_sent", "_settings")

    def __init__(self, settings, owner):
        self._settings = settings.steps
        self._owner = owner
        self._last = []
        self._last_token = None
        self._sent = DeliveryToken(owner.spec.sample_count)

    def positions(self, token):
        """Return the samples to send to a trainer that presents ``token``.

        Those with the oldest weights go first: they would be refused first.
        """
        owner = self._owner
        owner.drop_too_old()
        if token == self._last_token:
            again = [position for position in self._last if position in owner.ready]
            if again:
                return again
        ready = list(owner.ready.values())
        ready.sort(key=lambda sample: (sample.attempt.oldest, sample.position))
        return [sample.position for sample in ready[: self._settings.batch_size]]

    def confirmed(self, view, fetch, arrived_at):
        """Say whether the newest version is known well enough to deliver.

        A view that nobody confirmed for a while may miss announcements, and a
        process that was paused does not know that it was. Then only a version
        that the trainer stated a moment ago tells what is too old.
        """
        limit = self._settings.view_confirm
        stated = fetch.newest_version is not None and now() - arrived_at <= limit
        return stated or view.age <= limit

    def batch(self, token, positions):
        """Return the reply with these samples, JSON-ready."""
        owner = self._owner
        self._last, self._last_token = positions, token
        self._count(positions)
        following = token.union(positions)
        return {
            "samples": [self._document(owner.ready[one]) for one in positions],
            "token": following.encode(),
            "remaining": following.size - len(following),
            "staleness_bound": owner.row.staleness_bound,
            "newest_version": owner.newest(),
            "counts": owner.counts.as_dict(),
            "moved": owner.stopping,
            "expired": owner.over,
        }

    def _count(self, positions):
        counts, row = self._owner.counts, self._owner.row.name
        new = sum(self._sent.add(position) for position in positions)
        counts.delivered += new
        counts.redelivered += len(positions) - new
        EVENTS_TOTAL.add({"kind": "delivered", "row": row}, new)
        EVENTS_TOTAL.add({"kind": "redelivered", "row": row}, len(positions) - new)

    def _document(self, sample):
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
