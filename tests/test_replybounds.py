"""No reply of an agent is too large, and nothing is left out of all replies."""

import pytest

from dotterelspread.frame import (
    MAX_FRAME_BYTES,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)
from dotterelspread.gen.peer.ttypes import WatchQuery
from dotterelspread.jobs.agentreport import (
    MAX_LISTED_ENDS,
    EndedRun,
    RunEnd,
    RunningTask,
)
from dotterelspread.jobs.endedruns import EndedRuns
from dotterelspread.jobs.replybounds import (
    MAX_CHECKPOINT_BYTES,
    MAX_CHECKPOINTS_BYTES,
    CheckpointRotation,
    select_ends,
)
from dotterelspread.jobs.watchreply import build_watch_reply
from dotterelspread.jobs.workeradapter import Listing
from tests.test_watchreply import make_agent

TASKS = 64
LONG = "c" * 140_000
#: Largest reply, well below the frame that a peer accepts.
MAX_REPLY_BYTES = MAX_FRAME_BYTES // 3


def make_running(checkpoint=LONG, count=TASKS):
    return [RunningTask(f"task {n}", 1, checkpoint, 10, 0) for n in range(count)]


def make_ends(checkpoint=LONG, count=TASKS):
    return [
        EndedRun(n + 1, f"ended {n}", 1, RunEnd.LEASE_EXPIRED, checkpoint)
        for n in range(count)
    ]


def apply(agent, running=(), ended=()):
    agent.apply_listing(Listing(1000, 5000, tuple(running), tuple(ended)), 7000)


def test_a_reply_with_long_checkpoints_fits_in_a_frame():
    agent = make_agent()
    apply(agent, make_running(), make_ends())
    reply = build_watch_reply(agent)
    assert len(encode_reply("watch", 1, reply)) < MAX_REPLY_BYTES


def test_each_reply_lists_all_running_tasks():
    agent = make_agent()
    apply(agent, make_running())
    for _ in range(3):
        rows = build_watch_reply(agent).running
        assert [row.task_id for row in rows] == [f"task {n}" for n in range(TASKS)]


def test_each_running_task_gets_its_checkpoint_through():
    agent = make_agent()
    apply(agent, make_running())
    seen = set()
    for _ in range(TASKS * len(LONG) // MAX_CHECKPOINTS_BYTES + 2):
        rows = build_watch_reply(agent).running
        seen.update(row.task_id for row in rows if row.checkpoint == LONG)
    assert len(seen) == TASKS


def test_short_checkpoints_are_in_each_reply():
    agent = make_agent()
    apply(agent, [*make_running(), RunningTask("short", 1, "saved", 10, 0)])
    for _ in range(20):
        assert build_watch_reply(agent).running[-1].checkpoint == "saved"


def test_new_runs_do_not_keep_the_checkpoint_of_another_from_its_turn():
    rotation = CheckpointRotation()
    kept = RunningTask("kept", 1, LONG, 10, 0)
    sent = 0
    for turn in range(20):
        new = [RunningTask(f"{turn} {n}", 1, LONG, 10, 0) for n in range(3)]
        sent += ("kept", 1) in rotation.select([*new, kept])
    assert sent == 20


def test_all_ends_get_through_in_order_as_they_are_acknowledged():
    agent = make_agent()
    apply(agent, ended=make_ends())
    numbers = []
    while agent.ended.by_number:
        reply = build_watch_reply(agent)
        numbers.extend(row.number for row in reply.ended)
        assert reply.has_more_ends == (numbers[-1] < TASKS)
        assert {row.checkpoint for row in reply.ended} == {LONG}
        agent.ended.acknowledge(numbers[-1])
    assert numbers == list(range(1, TASKS + 1))


def test_ends_that_are_not_acknowledged_are_sent_again():
    agent = make_agent()
    apply(agent, ended=make_ends())
    assert build_watch_reply(agent).ended == build_watch_reply(agent).ended


def test_what_is_left_out_is_stated_in_the_frames():
    agent = make_agent()
    apply(agent, ended=make_ends())
    reply = build_watch_reply(agent)
    assert decode_reply(encode_reply("watch", 1, reply)[4:]).value == reply
    query = WatchQuery(epoch=1, accepts_partial_ends=True)
    assert decode_call(encode_call("watch", 1, query)[4:]).argument == query


def test_a_leader_of_an_earlier_version_gets_all_ends():
    agent = make_agent()
    apply(agent, ended=make_ends())
    reply = build_watch_reply(agent, accepts_partial_ends=False)
    assert (len(reply.ended), reply.has_more_ends) == (TASKS, False)


def test_the_rest_of_a_full_listing_does_not_count_as_the_last_ends():
    # A worker lists this many ends at a time; runs that are not listed may have ended.
    agent = make_agent()
    apply(agent, ended=make_ends("", MAX_LISTED_ENDS))
    agent.ended.acknowledge(MAX_LISTED_ENDS - 1)
    assert build_watch_reply(agent).has_more_ends
    agent.is_reachable = False
    assert not build_watch_reply(agent).has_more_ends


@pytest.mark.parametrize("character", ["c", "é"])
def test_a_checkpoint_that_fits_in_no_reply_holds_up_no_other(character):
    oversized = character * (MAX_CHECKPOINT_BYTES // len(character.encode()) + 1)
    rows = [RunningTask("oversized", 1, oversized, 10, 0), *make_running(count=1)]
    assert list(CheckpointRotation().select(rows)) == [("task 0", 1)]
    ended = EndedRuns()
    ended.add(make_ends(oversized, 1))
    (end,) = select_ends(ended.by_number)
    assert (end.number, end.checkpoint) == (1, "")


def test_the_longest_checkpoint_gets_through():
    longest = "c" * MAX_CHECKPOINT_BYTES
    assert CheckpointRotation().select(make_running(longest, 1))
    ended = EndedRuns()
    ended.add(make_ends(longest, 2))
    assert [end.checkpoint for end in select_ends(ended.by_number)] == [longest]
