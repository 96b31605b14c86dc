"""HTTP client of the worker on the same instance."""

import pytest

from dotterelspread.jobs.agentreport import RunEnd
from dotterelspread.jobs.workeradapter import (
    StartAnswer,
    WorkerFencedError,
    WorkerReplyError,
    WorkerUnsentError,
)
from dotterelspread.platform.worker import PlatformWorker
from tests.builders_platform import make_order
from tests.builders_standins import PresetWorker, run_on_loopback

JOB_ID = "5c0e7a21d94b36f8"


def test_replies_of_a_worker_are_mapped_to_start_answers():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [
            (200, {"ClockMs": 5, "born": 3}),
            (200, {"ClockMs": 5}),
            (409, {"ClockMs": 6, "Reason": "fence"}),
            (409, {"ClockMs": 7, "Reason": "old"}),
            (409, {"ClockMs": 8, "Reason": "late"}),
            (409, {"ClockMs": 9, "Reason": "room"}),
            (409, {"ClockMs": 9, "Reason": "ticket"}),
            (409, {"ClockMs": 9, "Reason": "unheard of"}),
            (400, {}),
            (429, {}),
            (503, {}),
            (421, {}),
        ]
        refusals = ["NO_ROOM", "NOT_PERMITTED", "REFUSED", "INVALID"]
        refusals += ["REFUSED", "REFUSED"]
        expected = ["RUNNING", "FENCED", "OUTDATED", "EXPIRED", *refusals]
        for name in [*expected, "OTHER_INCARNATION"]:
            answer, _ = await worker.start("i-1", 4, make_order(), 99)
            assert answer is StartAnswer[name]
        path, headers, body = standin.calls[1]
        assert path == "/api/run-start"
        assert headers["x-expect-instance"] == "i-1"
        assert body == {
            "Task": f"{JOB_ID}.0.0.1",
            "RunId": 2,
            "Spec": "text",
            "UntilMs": 99,
            "FencingToken": 4,
            "Checkpoint": "c",
            "Ticket": "t",
        }
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


def test_an_order_does_not_reach_a_later_incarnation_on_a_new_connection():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [(200, {"ClockMs": 5, "born": 4})]
        answer, _ = await worker.start("i-1", 4, make_order(), 99)
        assert answer is StartAnswer.OTHER_INCARNATION
        ((path, _, body),) = standin.calls
        assert path == "/api/hold"
        assert body == {"FencingToken": 4, "LastSeen": 0, "WaitMs": 0}
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


def test_an_order_is_not_sent_on_a_connection_that_has_shown_no_incarnation():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [(503, {})]
        with pytest.raises(WorkerUnsentError):
            await worker.stop("i-1", 4, make_order())
        assert len(standin.calls) == 1
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


def test_a_worker_that_closes_each_connection_gets_no_calls_without_end():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.headers = {"Connection": "close"}
        standin.replies = [(200, {"ClockMs": 5, "born": 3})] * 50
        with pytest.raises(WorkerUnsentError):
            await worker.start("i-1", 4, make_order(), 99)
        assert len(standin.calls) <= 3
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


def test_an_idle_connection_to_a_later_incarnation_is_not_used_for_an_earlier_one():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        lists = (200, {"ClockMs": 5, "born": 4})
        standin.replies = [lists, (200, {"ClockMs": 5}), lists]
        await worker.pace("i-1", 4, "t", 2, 40)
        answer, _ = await worker.start("i-1", 4, make_order(), 99)
        assert answer is StartAnswer.OTHER_INCARNATION
        paths = [path for path, _, _ in standin.calls]
        assert paths == ["/api/hold", "/api/pace", "/api/hold"]
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


def test_the_lists_of_a_worker_are_decoded_and_a_new_connection_acknowledges_none():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        lists = {
            "ClockMs": 5,
            "born": 3,
            "Running": [["t", 1, "c", 41, 12]],
            "Ended": [[7, "u", 2, "done", ""]],
        }
        bad = lists | {"Ended": [[7, "u", 2, "vanished", ""]]}
        standin.replies = [(200, lists), (200, lists), (409, {}), (200, bad)]
        listing = await worker.hold("i-1", 4, 57, 99, 0)
        assert listing.running[0].figure == 12
        assert (listing.ended[0].how, listing.born_ms) == (RunEnd.COMPLETED, 3)
        await worker.hold("i-1", 4, 57, 99, 0)
        # The number is sent only on a connection that has reached its incarnation.
        assert [body["LastSeen"] for _, _, body in standin.calls] == [0, 57]
        assert "UntilMs" not in standin.calls[0][2]
        for _ in range(2):
            with pytest.raises(WorkerReplyError):
                await worker.hold("i-1", 4, 57, 99, 0)
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


def test_a_new_connection_does_not_extend_the_lease_of_another_incarnation():
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [(200, {"ClockMs": 5, "born": 3})] * 4
        for _ in range(2):
            for _ in range(2):
                await worker.hold("i-1", 4, 57, 99, 0)
            worker.close()
        carried = [body.get("UntilMs") for _, _, body in standin.calls]
        assert carried == [None, 99, None, 99]
        assert [body["LastSeen"] for _, _, body in standin.calls] == [0, 57, 0, 57]

    run_on_loopback(PresetWorker(), scenario)


def test_the_first_lists_on_a_new_connection_are_not_waited_for():
    # A late start may reach another incarnation until it is called under its session.
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [(200, {"ClockMs": 5, "born": 3})] * 4
        for _ in range(2):
            for _ in range(2):
                await worker.hold("i-1", 4, 57, 99, 500)
            worker.close()
        waits_ms = [body["WaitMs"] for _, _, body in standin.calls]
        assert waits_ms == [0, 500, 0, 500]

    run_on_loopback(PresetWorker(), scenario)


@pytest.mark.parametrize(
    "first_reply", [(503, {}), (200, {"ClockMs": 5, "born": 3, "Ended": [[]]})]
)
def test_a_connection_without_valid_lists_yet_may_be_to_another_incarnation(
    first_reply,
):
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [first_reply, (200, {"ClockMs": 5, "born": 3})]
        with pytest.raises(WorkerReplyError):
            await worker.hold("i-1", 4, 57, 99, 0)
        await worker.hold("i-1", 4, 57, 99, 0)
        assert [body["LastSeen"] for _, _, body in standin.calls] == [0, 0]
        assert [body.get("UntilMs") for _, _, body in standin.calls] == [None, None]
        worker.close()

    run_on_loopback(PresetWorker(), scenario)


@pytest.mark.parametrize(
    ("status", "is_fenced"), [(409, True), (421, False), (503, False)]
)
def test_a_hold_under_an_outdated_token_is_told_from_other_failures(status, is_fenced):
    async def scenario(address, standin):
        worker = PlatformWorker(address)
        standin.replies = [(status, {"ClockMs": 5, "Reason": "fence"})]
        with pytest.raises(WorkerReplyError) as error:
            await worker.hold("i-1", 4, 57, 99, 0)
        assert isinstance(error.value, WorkerFencedError) == is_fenced
        worker.close()

    run_on_loopback(PresetWorker(), scenario)
