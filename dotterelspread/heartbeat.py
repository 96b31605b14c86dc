"""Failure detection, and gossip between peers independent of the log.

Entries send heartbeats to the members of their subset and to the other entries; agents
reply. News of members that start or drain is pushed to every entry at once and relayed
from there, so that it does not depend on the log. Each heartbeat carries the version of
the configuration, and a new version is pushed to random members.

The handlers of `reduce` here take a `Liveness`.
"""

from dataclasses import replace

from .gen.peer import ttypes
from .heartbeatevents import (
    AnswerHeartbeat,
    DrainStarted,
    HeartbeatMissed,
    HeartbeatReceived,
    HeartbeatSeen,
    HeartbeatTick,
    MemberForgotten,
    MemberLearned,
    NewerVersionSeen,
    PeerHeard,
    SendHeartbeat,
    SubsetChanged,
    VersionChanged,
)
from .liveness import (
    ENTRY_SILENCE_S,
    HEARTBEAT_TIMEOUT_S,
    NEWS_COUNT,
    PROBE_INTERVAL_S,
    VERSION_FANOUT,
    VERSION_ROUNDS,
    Liveness,
)
from .membership import STREAM, member_from_message, member_to_message
from .record import InstanceDraining
from .reducer import reduce
from .snapshot import AppendRecord

__all__ = ["Liveness"]


@reduce.register
def _(event: MemberLearned, state):
    member = event.member
    if member.has_left:
        state.logged_ids.discard(member.instance_id)
    else:
        state.logged_ids.add(member.instance_id)
    return state.learn(member, event.now_s, from_log=True)


@reduce.register
def _(event: MemberForgotten, state):
    state.logged_ids.discard(event.member.instance_id)
    return []


@reduce.register
def _(event: SubsetChanged, state):
    state.subset_ids = event.instance_ids
    return []


@reduce.register
def _(event: HeartbeatReceived, state):
    sender = event.message.sender
    if sender is None or not sender.instance_id:
        return []
    known_before = sender.instance_id in state.members_by_id
    effects = _learn_sender(sender, state, event.now_s)
    effects += _learn_news(event.message.news, state, event.now_s)
    effects += _compare_version(
        sender.instance_id, event.message.configuration_version, state
    )
    news = state.fresh_news(event.now_s)
    if not known_before:
        news += _introductions(state)
    reply = ttypes.HeartbeatReply(None, state.version, news[:NEWS_COUNT] or None)
    return [*effects, AnswerHeartbeat(reply)]


def _learn_sender(sender, state, now_s):
    known = state.members_by_id.get(sender.instance_id)
    member = member_from_message(sender)
    if member is None and known is not None and known.incarnation == sender.incarnation:
        member = replace(known, is_draining=bool(sender.draining))
    effects = [] if member is None else state.learn(member, now_s)
    if sender.instance_id in state.peers_by_id:
        state.peers_by_id[sender.instance_id].heard_s = now_s
        if state.members_by_id[sender.instance_id].role == "entry":
            state.entry_heard_s = now_s
    return effects


def _learn_news(news, state, now_s):
    effects = []
    for message in (news or ())[:NEWS_COUNT]:
        member = member_from_message(message)
        if member is not None:
            effects += state.learn(member, now_s)
    return effects


def _compare_version(instance_id, version, state):
    member = state.members_by_id.get(instance_id)
    if member is None or (version or -1) <= state.version:
        return []
    return [NewerVersionSeen(instance_id, member.announced.peer_address)]


def _introductions(state):
    """Return messages describing the known entries, for a new member."""
    entries = [state.members_by_id[entry_id] for entry_id in state.entry_ids()]
    if state.is_entry:
        entries.insert(0, state.own)
    return [member_to_message(member) for member in entries]


@reduce.register
def _(event: HeartbeatSeen, state):
    effects = _learn_news(event.reply.news, state, event.now_s)
    if not event.instance_id:
        state.entry_heard_s = event.now_s
    if event.instance_id not in state.members_by_id:
        return effects
    state.answered(event.instance_id)
    effects += _compare_load(event, state)
    return effects + _compare_version(
        event.instance_id, event.reply.configuration_version, state
    )


def _compare_load(event, state):
    load = event.reply.load or ttypes.Load()
    member = state.members_by_id[event.instance_id]
    incarnation = load.incarnation or member.incarnation
    if incarnation < member.incarnation:
        return state.missed(event.instance_id, event.now_s)
    effects = []
    if incarnation > member.incarnation:
        effects += state.restart(event.instance_id, incarnation, event.now_s)
        member = state.members_by_id[event.instance_id]
    if load.draining:
        effects += state.learn(replace(member, is_draining=True), event.now_s)
    return effects + state.heard(event.instance_id, event.now_s)


@reduce.register
def _(event: PeerHeard, state):
    member = state.members_by_id.get(event.instance_id)
    if member is None or member.incarnation != event.incarnation:
        return []
    return state.heard(event.instance_id, event.now_s)


@reduce.register
def _(event: HeartbeatMissed, state):
    if event.instance_id not in state.members_by_id:
        return []
    return state.missed(event.instance_id, event.now_s)


@reduce.register
def _(event: DrainStarted, state):
    state.own = replace(state.own, is_draining=True)
    state.push(state.entry_ids(), event.now_s)
    state.balancer_due_s = event.now_s
    record = InstanceDraining(state.own.instance_id, state.own.incarnation)
    return [AppendRecord(STREAM, record), *_due_heartbeats(state, event.now_s)]


@reduce.register
def _(event: VersionChanged, state):
    if event.version <= state.version:
        return []
    state.version = event.version
    state.version_rounds = VERSION_ROUNDS
    state.version_due_s = event.now_s
    return _due_heartbeats(state, event.now_s)


@reduce.register
def _(event: HeartbeatTick, state):
    effects = _expire_heartbeats(state, event.now_s)
    state.forget(event.now_s)
    return effects + _due_heartbeats(state, event.now_s)


def _expire_heartbeats(state, now_s):
    """Count as missed the heartbeats whose outcome was never reported."""
    effects = []
    for instance_id, peer in state.peers_by_id.items():
        if peer.sent_s is not None and now_s - peer.sent_s > 2 * HEARTBEAT_TIMEOUT_S:
            effects += state.missed(instance_id, now_s)
    return effects


def _due_heartbeats(state, now_s):
    """Return the heartbeats that are due."""
    _push_version(state, now_s)
    target_ids = state.target_ids()
    effects = []
    for instance_id, peer in state.peers_by_id.items():
        is_wanted = peer.pushes > 0 or instance_id in target_ids
        if is_wanted and peer.sent_s is None and peer.due_s <= now_s:
            effects.append(state.beat(instance_id, now_s))
    return effects + _query_balancer(state, now_s)


def _push_version(state, now_s):
    if state.version_rounds == 0 or now_s < state.version_due_s:
        return
    state.version_rounds -= 1
    state.version_due_s = now_s + PROBE_INTERVAL_S
    ids = sorted(state.members_by_id)
    count = min(VERSION_FANOUT, len(ids))
    state.push(state.rng.sample(ids, count), now_s, 1)


def _query_balancer(state, now_s):
    is_unheard = now_s - state.entry_heard_s > ENTRY_SILENCE_S
    is_leaving = state.own.is_draining and not state.entry_ids()
    if not state.balancer_address or not (is_unheard or is_leaving):
        return []
    if now_s < state.balancer_due_s:
        return []
    state.balancer_due_s = now_s + PROBE_INTERVAL_S + state.rng.random()
    message = state.message(True, now_s)
    return [SendHeartbeat("", state.balancer_address, message)]
