"""Arrival times of an open loop: they do not wait for answers.

A closed loop asks less often while answers are slow and so hides the delay that
callers see (coordinated omission). Here every arrival is drawn beforehand and
its latency counts from that time, however late it was really sent.
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
