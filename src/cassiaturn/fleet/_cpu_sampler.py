"""Samples the processor time of this process and the lateness of its timers."""

import asyncio
import time

from cassiaturn.fleet._cpu_clock import cpu_time_s
from cassiaturn.sharing import SAMPLE_PERIOD_S, CpuLoad


async def sample_cpu(cpu_load: CpuLoad, *, cpu_cores: float) -> None:
    """Add a sample each period until cancelled.

    :param cpu_load: averages the samples.
    :param cpu_cores: processor capacity of the host, in cores.
    """
    while True:
        began_at = time.monotonic()
        cpu_before_s = cpu_time_s()
        await asyncio.sleep(SAMPLE_PERIOD_S)
        elapsed_s = time.monotonic() - began_at
        cpu_load.observe(
            late_s=elapsed_s - SAMPLE_PERIOD_S,
            busy_s=(cpu_time_s() - cpu_before_s) / cpu_cores,
            elapsed_s=elapsed_s,
        )
