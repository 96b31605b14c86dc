"""Check the outcomes that callers received against the runs of backend servers."""

from collections import Counter
from dataclasses import dataclass, field

from dotterelspread.outcome import Completed, RefusalReason, Refused

#: Refusals decided without reading the claims; an earlier request with the same key
#: may still have run.
REASONS_WITHOUT_CLAIMS = {
    RefusalReason.STORE_UNAVAILABLE,
    RefusalReason.NOT_READY,
    RefusalReason.KEY_REUSED,
    RefusalReason.KEY_REQUIRED,
    RefusalReason.BAD_REQUEST,
    RefusalReason.UNKNOWN_SERVICE,
}


@dataclass(slots=True)
class SentRequest:
    request_id: str
    time_s: float
    #: None for an idempotent request.
    key: str | None = None
    #: Body of the complete answer to this request.
    answer: bytes = b""


@dataclass(slots=True)
class SeenOutcome:
    request_id: str
    time_s: float
    outcome: object


@dataclass(slots=True)
class Run:
    request_id: str
    instance_id: str
    incarnation: int
    start_s: float
    end_s: float | None = None


@dataclass(slots=True)
class History:
    sent_by_id: dict = field(default_factory=dict)
    seen: list = field(default_factory=list)
    #: Requests whose callers lost the connection to the entry.
    disconnected_ids: set = field(default_factory=set)
    runs: list = field(default_factory=list)
    slots_by_id: dict = field(default_factory=dict)
    drained_s_by_id: dict = field(default_factory=dict)

    def find_violations(self, is_complete=False):
        """Return one line per violation.

        Parameters
        ----------
        is_complete : bool
            Whether all callers have ended, so that each must have an outcome.
        """
        found = [
            *self.find_repeated_runs(),
            *self.find_refused_runs(),
            *self.find_wrong_answers(),
            *self.find_exceeded_slots(),
            *self.find_runs_after_drain(),
        ]
        return found + (self.find_wrong_outcome_counts() if is_complete else [])

    def find_repeated_runs(self):
        ids = Counter(run.request_id for run in self.runs if self.key(run.request_id))
        keys = Counter(key for run in self.runs if (key := self.key(run.request_id)))
        return [f"{name} ran {n} times" for name, n in (ids | keys).items() if n > 1]

    def find_refused_runs(self):
        run_ids = {run.request_id for run in self.runs}
        starts_by_key = {self.key(run.request_id): run.start_s for run in self.runs}
        found = []
        for seen in self.seen:
            if not isinstance(seen.outcome, Refused):
                continue
            if seen.request_id in run_ids:
                found.append(f"{seen.request_id} was refused and run")
            sent = self.sent_by_id[seen.request_id]
            earlier_s = starts_by_key.get(sent.key) if sent.key else None
            is_read = seen.outcome.reason not in REASONS_WITHOUT_CLAIMS
            if is_read and earlier_s is not None and earlier_s < sent.time_s:
                found.append(f"{seen.request_id} was refused after {sent.key} was run")
        return found

    def find_wrong_answers(self):
        return [
            f"{seen.request_id} got the answer {seen.outcome.body!r}"
            for seen in self.seen
            if isinstance(seen.outcome, Completed)
            and seen.outcome.body != self.sent_by_id[seen.request_id].answer
        ]

    def find_exceeded_slots(self):
        changes = sorted(
            change
            for run in self.runs
            for change in (
                (run.start_s, 1, run.instance_id, run.incarnation),
                (run.end_s or float("inf"), -1, run.instance_id, run.incarnation),
            )
        )
        used, found = Counter(), []
        for time_s, change, *process in changes:
            used[tuple(process)] += change
            if used[tuple(process)] > self.slots_by_id[process[0]]:
                found.append(f"{process[0]} runs {used[tuple(process)]} at {time_s}")
        return found

    def find_runs_after_drain(self):
        return [
            f"{run.instance_id} ran {run.request_id} while leaving"
            for run in self.runs
            if run.instance_id in self.drained_s_by_id
            and self.sent_by_id[run.request_id].time_s
            > self.drained_s_by_id[run.instance_id]
        ]

    def find_wrong_outcome_counts(self):
        outcomes = Counter(seen.request_id for seen in self.seen)
        return [
            f"{request_id} got {outcomes[request_id]} outcomes"
            for request_id in self.sent_by_id
            if outcomes[request_id] != (request_id not in self.disconnected_ids)
        ]

    def key(self, request_id):
        return self.sent_by_id[request_id].key
