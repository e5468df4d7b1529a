"""A limit on the tasks of large jobs that an owner holds at a time.

Each task takes memory and processor time from when its job is admitted. A single job is
bounded by the platform's format, the sum over all callers is not. Jobs of few tasks do
not count, so that a crowd of large jobs keeps no ordinary one out.
"""

from pollenladder.scheduling import tables

# Jobs of more tasks are large.
ORDINARY_TASKS = 100
# Share of a machine's memory for the tasks of large jobs.
MEMORY_SHARE = 0.05
# What a task takes, with its run, and the order to start it.
TASK_BYTES = 2048


def fit(memory_bytes: float) -> float:
    """Return how many tasks of large jobs an owner may hold.

    Args:
        memory_bytes: The memory of the machine.
    """
    return MEMORY_SHARE * memory_bytes / TASK_BYTES


def has_room(region: tables.Region, tasks: int) -> bool:
    """Return whether an owner may hold a further job.

    There is always room for one large job.

    Args:
        region: The region.
        tasks: The number of the job's tasks.
    """
    if tasks <= ORDINARY_TASKS:
        return True
    held = sum(
        len(job.tasks)
        for job in region.jobs.values()
        if len(job.tasks) > ORDINARY_TASKS
    )
    return not held or held + tasks <= region.max_large_tasks
