"""From the log lines of processes to the cause of each job that was not served."""

from cassiaturn.explain._causes import CAUSES, IN_TIME, Cause, cause_of
from cassiaturn.explain._lines import Line, parse_line, read_lines
from cassiaturn.explain._sizes import SizeRow, by_size
from cassiaturn.explain._starts import ProcessStart, process_starts
from cassiaturn.explain._stories import JobStory, Record, read_record
from cassiaturn.explain._tables import CauseRow, SecondRow, by_cause, by_second

__all__ = [
    "CAUSES",
    "Cause",
    "CauseRow",
    "IN_TIME",
    "JobStory",
    "Line",
    "ProcessStart",
    "Record",
    "SecondRow",
    "SizeRow",
    "by_cause",
    "by_second",
    "by_size",
    "cause_of",
    "parse_line",
    "process_starts",
    "read_lines",
    "read_record",
]
