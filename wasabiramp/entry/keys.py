"""Keys of the store that belong to the project.

The entries of members and of the owner end with their daemon's lease. The term's key stays; its
revision is the fencing token. The roster lists the executors that may have runs, for the next
owner. The commits key chains the owner's commits (see `journal`).
"""

from __future__ import annotations

from typing import Final

PREFIX_LIVE: Final = "wr/live/"
PREFIX_MEMBER: Final = "wr/live/member/"
KEY_OWNER: Final = "wr/live/owner"
KEY_TERM: Final = "wr/live/term"
PREFIX_JOB: Final = "wr/job/"
PREFIX_PROGRESS: Final = "wr/progress/"
KEY_ROSTER: Final = "wr/roster"
KEY_COMMITS: Final = "wr/commits"


def build_job_key(job_id: str) -> str:
    """Return the key of a job's definition, which exists until the job has ended."""
    return PREFIX_JOB + job_id


def build_progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return PREFIX_PROGRESS + job_id
