"""Samples the processor time of this process and the lateness of its timers."""

import asyncio
import time

from cassiaturn.sharing import SAMPLE_PERIOD_S, CpuLoad


async def sample_cpu(cpu_load: CpuLoad) -> None:
    """Add a sample each period until cancelled.

    :param cpu_load: averages the samples.
    """
    while True:
        began_at = time.monotonic()
        cpu_before_s = time.process_time()
        await asyncio.sleep(SAMPLE_PERIOD_S)
        elapsed_s = time.monotonic() - began_at
        cpu_load.observe(
            late_s=elapsed_s - SAMPLE_PERIOD_S,
            cpu_s=time.process_time() - cpu_before_s,
            elapsed_s=elapsed_s,
        )
