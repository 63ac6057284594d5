"""Which reward calls are sent, when, and how long one may take.

The load that this answers: a step's texts end within a second or two, and each then
needs a call of some 200 ms at a service whose live callers want theirs within 150 ms.
"""

SHARE = 0.5
"""Part of a service's places that reward calls may take: live callers' calls last an
eighth as long and find room in the other half. The bound cuts off what would queue."""
FEWEST = 2
"""Reward calls at once also before a single small replica, so that a lost answer does
not hold the next call for its whole time."""
PATIENCE = 3.0
"""Times the route's target latency that the first call may take: three of the work's
means of a quarter of the target fit, beside a second send after half of the target.
Each later one may take twice as long as the one before, up to the route's timeout: a
service that is slow as a whole answers none that is cut off sooner."""
LOST_PAUSE = 0.1
"""Seconds before a call is sent again that was refused or not answered: about half the
time that a place is taken, so that a full service is not asked all the time."""
FAILED_PAUSE = 0.05
"""Seconds before a call is sent again that a replica failed: another one is asked."""
ROUTELESS_PAUSE = 0.5
"""Seconds before the routes are looked at again for a call that has none."""


def places(slots, taken):
    """Return how many more reward calls a service may get.

    ``slots`` are the places of its sound replicas, ``taken`` the reward calls there.
    """
    return max(0, max(FEWEST, int(slots * SHARE)) - taken)


def seconds_for(route, unanswered=0):
    """Return the seconds for a reward call after so many that were not answered."""
    return min(route.timeout, PATIENCE * route.target * 2**unanswered)


def ordered(jobs):
    """Return jobs in the order in which their reward calls are to be sent.

    A trainer counts whole groups: a group that lacks little comes first, and of
    equally whole ones the older step's.
    """
    return sorted(
        jobs,
        key=lambda job: (job.step.missing_of(job.item.group), job.step.seen_at),
    )


def allowed_failures(item_route, reward_route):
    """Return after how many failures of its reward call an item is given up.

    The larger of both routes' attempts: fewer would give an item up that its trainer
    was promised more tries for.
    """
    return max(item_route.attempts if item_route else 1, reward_route.attempts)
