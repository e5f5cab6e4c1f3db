"""Every event that a process logs, with its level and meaning."""

from dataclasses import dataclass
from enum import Enum, IntEnum

import logbook


class Level(IntEnum):
    """How soon a person should look at an event."""

    DEBUG = logbook.DEBUG
    INFO = logbook.INFO
    WARNING = logbook.WARNING
    ERROR = logbook.ERROR


@dataclass(frozen=True, slots=True, kw_only=True)
class EventKind:
    """What an event is called and what it says; one a member of Event."""

    name: str
    """The value of ``event=`` in its line."""

    level: Level
    """How soon to look."""

    meaning: str
    """What happened, and what to do where something is to be done."""


def _info(name: str, meaning: str) -> EventKind:
    return EventKind(name=name, level=Level.INFO, meaning=meaning)


def _warning(name: str, meaning: str) -> EventKind:
    return EventKind(name=name, level=Level.WARNING, meaning=meaning)


def _error(name: str, meaning: str) -> EventKind:
    return EventKind(name=name, level=Level.ERROR, meaning=meaning)


class Event(Enum):
    """Events by name; the operators' page holds the same table."""

    PROCESS_STARTING = _info("process_starting", "The settings are valid; starting.")
    PROCESS_STOPPED = _info("process_stopped", "The process ends with `exit_code`.")
    SETTINGS_INVALID = _error(
        "settings_invalid", "A file is wrong at `key`; mend it and start again."
    )
    LISTENING = _info("listening", "A port takes connections.")
    LISTEN_FAILED = _error(
        "listen_failed", "A port is taken or not ours; see `detail`."
    )
    INSTANCE_READY = _info("instance_ready", "The instance takes submissions.")
    INSTANCE_NOT_READY = _warning(
        "instance_not_ready", "It takes none, for `reason`; others serve the callers."
    )
    INSTANCE_DRAINING = _info(
        "instance_draining", "A planned stop: what is in flight finishes."
    )
    DRAIN_TIMED_OUT = _warning(
        "drain_timed_out", "A planned stop gave up on `open` submissions."
    )
    JOB_QUEUED = _info("job_queued", "The leader queued a job for its targets.")
    JOB_STARTED = _info("job_started", "Tasks of a job went to the targets named.")
    JOB_JOINED = _info("job_joined", "A resubmission joined the job that it repeats.")
    JOB_REPEATED = _info("job_repeated", "A late resubmission got the answer again.")
    JOB_CANCELLED = _info("job_cancelled", "Nobody waits for a job; its runs stop.")
    JOB_ENDED = _info("job_ended", "The leader decided a job, for `reason`.")
    JOB_TIMED = _info(
        "job_timed", "Where the time of a job went that needs much of its caller's."
    )
    JOB_HOPELESS = _info(
        "job_hopeless", "A queued job's forecast answer came too late to be useful."
    )
    JOB_REFUSED = _info("job_refused", "A job was refused and never ran.")
    JOB_ANSWERED = _info("job_answered", "A caller got the final answer to a job.")
    JOB_LEFT = _info("job_left", "A caller closed its connection before the answer.")
    JOB_RESUBMITTED = _info("job_resubmitted", "A job goes to another leader.")
    TASK_FAILED = _info("task_failed", "A run of a task failed on a target.")
    DRAINS_APPLIED = _info(
        "drains_applied", "Other failure domains are drained from now on."
    )
    DRAINS_IN_FORCE = _info(
        "drains_in_force", "A leader starts nothing on drained failure domains."
    )
    JOB_HANDED_ON = _info(
        "job_handed_on", "A leader that steps down tells which tasks of a job are done."
    )
    TASK_INHERITED_DONE = _info(
        "task_inherited_done", "A task was done under an earlier leader."
    )
    RUN_ENDED = _info("run_ended", "A run ended otherwise than done or failed.")
    RUN_LOST = _warning("run_lost", "A run ended with its target or its lease.")
    RUN_STALLED = _warning("run_stalled", "A run stands still and is stopped.")
    RUN_UNEXPECTED = _warning("run_unexpected", "A second run of a task is stopped.")
    RUN_ORPHANED = _warning("run_orphaned", "A run of no known job is stopped.")
    START_REFUSED = _info("start_refused", "A target did not take a start.")
    TARGET_ADDED = _info("target_added", "A target joined the directory.")
    TARGET_RESIZED = _info(
        "target_resized", "A target's worker has another capacity from now on."
    )
    TARGET_SPEED = _info(
        "target_speed", "Runs on a target take `ratio` times as long as expected."
    )
    ESTIMATES_RESTORED = _info(
        "estimates_restored", "A new leader starts from estimates of `source`."
    )
    ESTIMATES_MISSING = _info(
        "estimates_missing", "A new leader knows no speeds or run times, for `reason`."
    )
    ESTIMATES_IGNORED = _warning(
        "estimates_ignored", "`count` estimates with impossible values were ignored."
    )
    ESTIMATES_STORED = _info(
        "estimates_stored", "The leader wrote its estimates' row, or failed to."
    )
    TARGET_REMOVED = _info("target_removed", "A target left the directory.")
    TARGET_SILENT = _warning("target_silent", "A target stopped answering.")
    TARGET_UNANSWERED = _info(
        "target_unanswered", "A target left a request unanswered; it is asked again."
    )
    TARGET_RESTARTED = _info(
        "target_restarted",
        "A target has started again under its id; it knows nothing of before.",
    )
    TARGET_CONFIRMED = _info(
        "target_confirmed",
        "Every follower knows a new target, which may get starts from now on.",
    )
    TARGET_HEARD = _info("target_heard", "A target answers and told what it runs.")
    LEADER_ELECTED = _info("leader_elected", "This member leads from now on.")
    LEADER_RESIGNED = _info("leader_resigned", "This member no longer leads.")
    EARLIER_RUNS_KNOWN = _info(
        "earlier_runs_known",
        "This leader learned on which targets an earlier one may have runs.",
    )
    EARLIER_RUNS_UNKNOWN = _info(
        "earlier_runs_unknown",
        "A member knew other targets than this leader; its jobs wait for their leases.",
    )
    HAND_OVER_ASKED = _info(
        "hand_over_asked", "This leader asks another member to lead, for `reason`."
    )
    HAND_OVER_FAILED = _warning(
        "hand_over_failed", "No member that was asked leads; this process ends soon."
    )
    LEADER_FOLLOWED = _info("leader_followed", "This member follows `leader`.")
    LEADER_LOST = _warning("leader_lost", "The leader is gone or silent.")
    LEADER_UNKNOWN = _warning("leader_unknown", "No leader can be reached from here.")
    MEMBER_JOINED = _info("member_joined", "A member follows this leader.")
    LEADER_LOAD = _info(
        "leader_load", "What leading cost this member in the last `period_s`."
    )
    LEADER_FULL = _warning(
        "leader_full", "The share of new jobs that this leader is too full for changed."
    )
    FORECAST = _info(
        "forecast", "What admission by forecast assumed in the last `period_s`."
    )
    STARTS_SHED = _warning(
        "starts_shed", "The priorities of which members refuse new jobs changed."
    )
    MEMBER_GONE = _warning("member_gone", "A follower is gone; its jobs end.")
    SETTINGS_RELOADED = _info("settings_reloaded", "The settings file was read again.")
    LINES_DROPPED = _warning(
        "lines_dropped",
        "`count` lines were dropped, `ordinary` of them of jobs that end well.",
    )
    PEER_CONNECTED = _info("peer_connected", "The stream to a peer is up.")
    PEER_LOST = _warning("peer_lost", "The stream to a peer ended; it is tried again.")
    PEER_STATE = _info("peer_state", "Membership now has a peer as `state`.")
    TARGET_CONNECTED = _info("target_connected", "The stream to a target is up.")
    TARGET_LOST = _warning(
        "target_lost", "The stream to a target ended; it is tried again."
    )
    TARGET_LEAVING = _info("target_leaving", "A target gets no new start.")
    TARGET_ACTIVATED = _info("target_activated", "A drained target gets starts again.")
    TARGET_HEALTH = _warning(
        "target_health", "A target is `state` by comparison with its peers."
    )
    FRAME_MALFORMED = _error(
        "frame_malformed", "A peer or target sent what cannot be read; stream closed."
    )
    ENTRY_MALFORMED = _warning(
        "entry_malformed", "A shared list holds what no target or operator writes."
    )
    TARGET_IGNORED = _warning(
        "target_ignored", "An entry names a `service` that the configuration lacks."
    )
    CONFIGURATION_APPLIED = _info(
        "configuration_applied", "Shared configuration `version` is in force here."
    )
    CONFIGURATION_STALE = _info(
        "configuration_stale", "An older version came late and was ignored."
    )
    CONFIGURATION_REJECTED = _error(
        "configuration_rejected", "A stored version is malformed; the last one stays."
    )
    CONFIGURATION_UNCONFIRMED = _warning(
        "configuration_unconfirmed", "Nobody confirmed the version for `age_ms`."
    )
    STORE_UNREACHABLE = _warning(
        "store_unreachable", "The table service fails; tickets still work."
    )
    STORE_RECOVERED = _info("store_recovered", "The table service answers again.")
    STORE_ANSWER_LOST = _warning(
        "store_answer_lost", "A write may have taken effect; a re-read settles it."
    )
    STORE_THROTTLED = _warning(
        "store_throttled", "The table service is at its limit; others use it, too."
    )
    STORE_MISUSED = _error(
        "store_misused", "The platform's service refuses what was asked; see `detail`."
    )
    CLAIM_UNDETERMINED = _warning(
        "claim_undetermined", "Whose a bare id is stays open; its caller is told so."
    )
    TAKEOVER_STARTED = _warning(
        "takeover_started", "This instance succeeds the dead `incarnation`."
    )
    TAKEOVER_DONE = _info("takeover_done", "Its submissions are all decided.")
    PAUSE_DETECTED = _warning(
        "pause_detected", "The process stood still for `paused_ms`; starts are held."
    )
    INCARNATION_FENCED = _warning(
        "incarnation_fenced", "A successor took over from us; a new incarnation begins."
    )
    OVERLOAD_STARTED = _warning(
        "overload_started", "Submissions are refused since they would be late."
    )
    OVERLOAD_ENDED = _info("overload_ended", "Submissions are admitted again.")
    SUBMISSION_UNKNOWN = _warning(
        "submission_unknown", "A caller was told that nobody can say what ran."
    )
    LIBRARY_MESSAGE = _warning(
        "library_message", "A library, `logger`, warns; `detail` is its own text."
    )
    INVARIANT_BROKEN = _error(
        "invariant_broken", "A fault of the program; the process ends. Report it."
    )

    @property
    def kind(self) -> EventKind:
        """What the event is called and says."""
        return self.value
