"""Processor time of small pieces of work."""

from collections.abc import Callable
import gc
import time
from typing import Any

US_PER_S = 1_000_000
LEAST_S = 0.05


def time_us(run: Callable[[], Any]) -> float:
    """Return the processor time of one run, in us."""
    run()
    gc.collect()
    count = 0
    start_s = time.process_time()
    while (spent_s := time.process_time() - start_s) < LEAST_S:
        run()
        count += 1
    return spent_s / count * US_PER_S
