"""Decides which reward calls are sent, when, and with which timeout.

The texts of a step end close together and each needs a call to a service that live
callers use too. Concurrency is bounded to a share of the service's slots, calls of
nearly complete groups are sent first, and timeouts double with each lost answer.
"""

SLOT_SHARE = 0.5  # of a service's slots that reward calls may take
MIN_CONCURRENCY = 2  # also for a service with fewer slots
TIMEOUT_FACTOR = 3.0  # first timeout, in target latencies of the route
MAX_TIMEOUT_DOUBLINGS = 16  # beyond any route's timeout; 1024 would overflow
LOST_RETRY_DELAY = 0.1  # seconds after a call that was refused or not answered
FAILED_RETRY_DELAY = 0.05  # seconds after a call that a replica failed
NO_ROUTE_RETRY_DELAY = 0.5  # seconds after a call that no route matched


def free_slots(slots, in_flight):
    """Return how many more reward calls a service may get.

    ``slots`` counts those of its unsuspected replicas, ``in_flight`` the reward calls
    there.
    """
    return max(0, max(MIN_CONCURRENCY, int(slots * SLOT_SHARE)) - in_flight)


def call_timeout(route, unanswered_calls=0):
    """Return the timeout in seconds of a reward call after some unanswered ones."""
    doublings = min(unanswered_calls, MAX_TIMEOUT_DOUBLINGS)
    return min(route.timeout, TIMEOUT_FACTOR * route.target * 2**doublings)


def ordered(jobs):
    """Return jobs in the order in which their reward calls are sent.

    Groups with the fewest missing samples come first, then the older step.
    """
    return sorted(
        jobs,
        key=lambda job: (job.step.missing_samples(job.item.group), job.step.seen_at),
    )


def allowed_failures(item_route, reward_route):
    """Return after how many failed reward calls an item is failed.

    The larger of both routes' attempts, so that an item gets all tries of its own route.
    """
    return max(item_route.attempts if item_route else 1, reward_route.attempts)
