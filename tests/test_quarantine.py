import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dotterelspread.quarantine import QuarantineError, QuarantineState, Standing

WORKERS = tuple(f"w{index}" for index in range(10))
workers = st.sampled_from(WORKERS)
jobs = st.sampled_from([f"job{index}" for index in range(6)])
tasks = st.integers(0, 2)


class FaultAttributionMachine(RuleBasedStateMachine):
    """A cell where worker w0 fails all its tasks and job0 fails on all workers.

    Two members read the same stream. One also queries its state between records, which
    must not change it.
    """

    @initialize()
    def add_workers(self):
        self.offset = 0
        self.readers = [QuarantineState(), QuarantineState()]
        self.clean_jobs = set()
        self.clean_workers = set(WORKERS)
        for reader in self.readers:
            for worker in WORKERS:
                reader.add_worker(worker)

    def record(self, name, *arguments):
        self.offset += 1
        for reader in self.readers:
            getattr(reader, name)(self.offset, *arguments)
        self.readers[0].refusal("job1", "job1.0")
        self.readers[0].admit("w1", "job1", "job1.0", 0)

    @rule(worker=workers, job=jobs, task=tasks, noise=st.integers(0, 4))
    def run_task(self, worker, job, task, noise):
        task_id = f"{job}.{task}"
        if not self.readers[1].admit(worker, job, task_id, 0).allowed:
            return
        self.record("started", job, worker)
        if worker == "w0" or job == "job0" or noise == 0:
            self.clean_workers.discard(worker)
            self.record("failure", job, task_id, worker)
        else:
            self.record("success", job, task_id, worker)

    @rule(worker=workers, job=jobs)
    def evict(self, worker, job):
        self.record("started", job, worker)
        self.record("released", job)

    @rule(gap=st.integers(1, 500))
    def advance_offset(self, gap):
        self.offset += gap
        self.record("started", "other", "w9")
        self.record("success", "other", "other.0", "w9")

    @rule()
    def restart_one(self):
        """Replace one reader by one restored from a snapshot of the other."""
        data = self.readers[1].encode()
        self.readers[0] = QuarantineState.decode(data)
        assert self.readers[0].encode() == data

    @precondition(lambda self: hasattr(self, "readers"))
    @invariant()
    def readers_agree(self):
        first, second = self.readers
        assert first.encode() == second.encode()
        assert [first.standing(w) for w in WORKERS] == [
            second.standing(w) for w in WORKERS
        ]
        for job in ("job0", "job1"):
            assert first.refusal(job, f"{job}.0") == second.refusal(job, f"{job}.0")

    @precondition(lambda self: hasattr(self, "readers"))
    @invariant()
    def quarantine_is_limited_and_spares_workers_without_failures(self):
        quarantined = self.readers[0].quarantined_ids()
        assert len(quarantined) <= 2
        assert not self.clean_workers & set(quarantined)

    @precondition(lambda self: hasattr(self, "readers"))
    @invariant()
    def a_quarantined_worker_gets_one_probe_at_a_time(self):
        for worker in self.readers[0].quarantined_ids():
            decision = self.readers[0].admit(worker, "other", "other.1", 1)
            assert not decision.allowed
            assert self.readers[0].standing(worker) is Standing.QUARANTINED


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.binary(max_size=40))
def test_decoding_an_invalid_snapshot_raises_an_error(data):
    with pytest.raises(QuarantineError):
        QuarantineState.decode(data)


TestFaultAttribution = FaultAttributionMachine.TestCase
TestFaultAttribution.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=40, deadline=None
)
