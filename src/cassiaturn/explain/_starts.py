"""How long processes took from their start until they served callers."""

from dataclasses import dataclass

from cassiaturn.explain._stories import Record

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessStart:
    """One start of a process."""

    process: str
    """Which process."""

    at_s: float
    """Its first line, in seconds after the first line of all."""

    serving_ms: float | None
    """Until it took callers' requests, in milliseconds; None: it never did."""


def process_starts(record: Record) -> list[ProcessStart]:
    """Return every start that the logs show, in order of time."""
    starts: list[ProcessStart] = []
    for position, line in enumerate(record.lines):
        if line.event != "process_starting":
            continue
        serving = None
        for later in record.lines[position + 1 :]:
            if later.process != line.process:
                continue
            if later.event == "listening":
                serving = (later.at_s - line.at_s) * MILLISECONDS
            if later.event in ("listening", "process_starting"):
                break
        starts.append(
            ProcessStart(
                process=line.process,
                at_s=line.at_s - record.began_at_s,
                serving_ms=serving,
            )
        )
    return starts
