"""Why a job was not served in time: one cause each, by the first rule that fits.

The rules stand in order of how certain they are: what a line says of the job itself
goes before what happened around it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cassiaturn.explain._stories import JobStory, Record

IN_TIME = "in_time"

WAIT_SHARE = 0.5
"""Share of its time until due that a job must have waited for its last start, for the
queue to be the cause: with less, its own run took most of it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cause:
    """One reason for which jobs are not served in time."""

    name: str
    """As it stands in the table."""

    meaning: str
    """What happened, and where to look."""

    applies: Callable[[JobStory, Record], bool]
    """Whether it explains a job that was not served in time."""


CAUSES: list[Cause] = []
"""Every cause, in the order in which they are tried."""

Rule = Callable[[JobStory, Record], bool]


def _cause(name: str, meaning: str) -> Callable[[Rule], Rule]:
    """Register a rule under the name of its cause."""

    def register(rule: Rule) -> Rule:
        CAUSES.append(Cause(name=name, meaning=meaning, applies=rule))
        return rule

    return register


def cause_of(story: JobStory, record: Record) -> str:
    """Return the cause for which a job was not served, or that it was in time."""
    if story.is_served:
        return IN_TIME
    return next(cause.name for cause in CAUSES if cause.applies(story, record))


@_cause("caller_left", "its caller closed the connection before the answer")
def _caller_left(story: JobStory, _: Record) -> bool:
    return story.verdict == "left" or story.reason == "cancelled"


@_cause("process_ended", "its member's process ended, and its caller's connection")
def _process_ended(story: JobStory, _: Record) -> bool:
    return story.verdict == "open"


@_cause("not_offered", "it asks for what is not served; nothing ran")
def _not_offered(story: JobStory, _: Record) -> bool:
    return story.reason.endswith("_not_served")


@_cause("no_leader", "no member led, or its leader was silent for too long")
def _no_leader(story: JobStory, _: Record) -> bool:
    if story.verdict == "refused" and story.reason == "limit_passed":
        return True
    return story.reason in ("no_leader", "leader_lost", "leader_silent")


@_cause("drained", "refused: operators drain failure domains that it would need")
def _drained(story: JobStory, _: Record) -> bool:
    return story.reason == "drained"


@_cause("no_target", "the leader knew no target of its service")
def _no_target(story: JobStory, _: Record) -> bool:
    return story.reason == "no_target"


@_cause("no_room", "refused: it could hardly end within its limit behind the queue")
def _no_room(story: JobStory, _: Record) -> bool:
    return story.verdict == "refused"


@_cause("held", "a new leader could not tell whether a task of it still ran")
def _held(story: JobStory, _: Record) -> bool:
    return story.reason == "held_too_long"


@_cause("target_lost", "a target with a task of it fell silent or ended")
def _target_lost(story: JobStory, _: Record) -> bool:
    return bool(story.of("run_lost"))


@_cause("start_unanswered", "a target left the order to start a task unanswered")
def _start_unanswered(story: JobStory, _: Record) -> bool:
    refused = story.of("start_refused")
    return any(line.fields.get("answer") == "unknown" for line in refused)


@_cause("start_refused", "a target refused a start, and the task went elsewhere")
def _start_refused(story: JobStory, _: Record) -> bool:
    return bool(story.of("start_refused"))


@_cause("run_stalled", "a task of it stood still on its target")
def _run_stalled(story: JobStory, _: Record) -> bool:
    return bool(story.of("run_stalled"))


@_cause("task_failed", "a task of it failed, and ran again or was given up")
def _task_failed(story: JobStory, _: Record) -> bool:
    return bool(story.of("task_failed")) or story.verdict == "failed"


@_cause("run_ended", "a run of it was stopped, or its lease ran out")
def _run_ended(story: JobStory, _: Record) -> bool:
    return bool(story.of("run_ended"))


@_cause("leader_change", "the leader changed while its caller waited")
def _leader_change(story: JobStory, record: Record) -> bool:
    if any(line.fields.get("inherited") == "true" for line in story.lines):
        return True
    end = story.end
    until_s = end.at_s if end is not None else story.arrived_at_s
    return any(
        story.arrived_at_s <= at_s <= until_s for at_s in record.leader_changes()
    )


@_cause("queue", "its last task waited long for room")
def _queue(story: JobStory, _: Record) -> bool:
    return story.last_start_wait_ms >= WAIT_SHARE * (story.due_ms or float("inf"))


@_cause("long_task", "ended since a task of it could not end within its limit")
def _long_task(story: JobStory, _: Record) -> bool:
    return story.verdict == "abandoned"


@_cause("slow_run", "its tasks ran for longer than expected")
def _slow_run(story: JobStory, _: Record) -> bool:
    return True
