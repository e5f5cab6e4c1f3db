"""Tells how much longer a task runs away from the rack that its data lies on.

Load pattern: many jobs name the same rack, more than it has room for, and the others
run elsewhere, two or three times as long. If these runs count like any others, three of
them make a healthy target look degraded, and the expected run times of the route rise
for the jobs that run near their data.

Grounds: the factor is known from the settings, so a run can be divided by it before
anything is learned from it.
"""

from collections.abc import Collection

from cassiaturn.entities import TaskGroup


def remote_rack_factor(
    group: TaskGroup, labels: Collection[str], factor: float
) -> float:
    """Return how many times as long a task runs on a target as near its data.

    :param group: group of the task, which may name a rack.
    :param labels: the target's labels, its rack among them.
    :param factor: how many times as long a task runs on another rack.
    :returns: 1 on the rack that the group names, or if it names none.
    """
    if not group.preferred_rack or group.preferred_rack in labels:
        return 1.0
    return factor
