"""The processor time of this process."""

import resource


def cpu_time_s() -> float:
    """Return the processor time used so far, in seconds of one core.

    Resource usage, since ``time.process_time`` advances with elapsed time on hosts that
    virtualize the clock of a process; a sleeping process would look saturated there.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
