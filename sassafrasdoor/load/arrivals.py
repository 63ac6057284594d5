"""Arrival times of an open-loop load, independent of replies.

A closed loop sends less while replies are slow, which hides the delay that callers see
(coordinated omission). Here all arrivals are drawn beforehand, and latency counts from
the arrival, however late the request was sent.
"""

import random


def arrivals(rate, duration, seed):
    """Return Poisson arrival times in seconds, below ``duration``, ascending."""
    generator = random.Random(seed)
    times, time = [], generator.expovariate(rate)
    while time < duration:
        times.append(time)
        time += generator.expovariate(rate)
    return times
