import pytest

from dotterelspread.admission import MAX_WAITING_REQUESTS, Admission
from dotterelspread.configuration import KindConfig
from dotterelspread.outcome import RefusalReason
from dotterelspread.queue import WaitingRequest, find_queue

KINDS = {
    "plain": KindConfig("plain", 1, share=0.5),
    "kept": KindConfig("kept", 1, share=0.0, refusable=False),
}


def make_admission(name="fair", waiting=0, kind="plain"):
    queue = find_queue(name)(2, KINDS)
    for number in range(waiting):
        queue.push(WaitingRequest(f"r{number}", kind, 1, 99.0, 0.0))
    admission = Admission(queue)
    for kind_name in KINDS:
        admission.note_service(kind_name, 0.1)
    return admission


def reason(admission, kind="plain", deadline_s=9.0, running=2):
    refused = admission.refusal(kind, deadline_s, running, 0.0)
    return refused and refused.reason


def test_a_free_slot_admits_requests_that_can_meet_their_deadline():
    assert reason(make_admission(), running=1) is None
    assert (
        reason(make_admission(), running=1, deadline_s=0.09) == RefusalReason.DEADLINE
    )


def test_the_expected_wait_counts_against_the_deadline():
    busy = make_admission("fifo", waiting=10)
    assert busy.expected_wait_s("plain", 2, 0.0) == pytest.approx(0.55)
    assert reason(busy, deadline_s=0.6) == RefusalReason.DEADLINE
    assert reason(busy, deadline_s=0.7) is None


def test_a_kind_over_its_share_is_shed_unless_it_is_not_refusable():
    assert reason(make_admission(waiting=20)) == RefusalReason.SHED
    assert reason(make_admission(waiting=20, kind="kept"), "kept") is None
    full = make_admission(waiting=MAX_WAITING_REQUESTS, kind="kept")
    assert reason(full, "kept", 999.0) == RefusalReason.NO_CAPACITY
