"""Settlement of claims: recording the outcome of non-idempotent requests in the log."""

from .entryevents import AppendClaimRecord
from .outcome import RefusalReason, Refused
from .record import RequestClaimed
from .requestclaim import claim_stream, settled_record

__all__ = [
    "append",
    "settle",
    "settle_abandoned",
    "settle_claim",
    "tick_settlements",
]


def settle(state, request, outcome):
    """Return the effects that settle the request's own claim if it is current."""
    if request.key is None:
        return []
    claim = state.table(request).find(request.service_name, request.key)
    if claim is None or claim.settled is not None:
        return []
    if claim.record.request_id != request.request_id:
        return []
    return settle_claim(state, claim.record, outcome)


def settle_claim(state, claim_record, outcome):
    """Return the effects that settle a claim; none when the outcome is unknown."""
    record = settled_record(claim_record, outcome)
    if record is None:
        return []
    state.note_settlement(record)
    return [append(record, record.request_id)]


def tick_settlements(state, now_s):
    """Retry the append of settlements that are proved absent from the log."""
    effects = []
    for settlement in state.settlements_by_id.values():
        if settlement.append_due_s is not None and settlement.append_due_s <= now_s:
            settlement.append_due_s = None
            effects.append(append(settlement.record, settlement.record.request_id))
    return effects


def settle_abandoned(state, table, record):
    """Settle a claim as not run if it appears after its request was abandoned."""
    if not isinstance(record, RequestClaimed):
        return []
    if state.abandoned_ids.get(record.request_id) != record.attempt:
        return []
    claim = table.find(record.service, record.key)
    if claim is None or claim.record is not record:
        return []
    outcome = Refused(RefusalReason.STORE_UNAVAILABLE, "given up before it was sent")
    return settle_claim(state, record, outcome)


def append(record, request_id):
    """Return the effect that appends a record to the claim stream of its key."""
    return AppendClaimRecord(
        claim_stream(record.service, record.key), record, request_id
    )
