"""Decision of an entry whether a request is retried at another instance."""

from .entrysend import choose
from .entrystate import AttemptState
from .outcome import RefusalReason
from .retry import MAX_ATTEMPTS

__all__ = ["note_evacuation", "take_retry"]


def note_evacuation(state, request, attempt):
    """Leave out the data centre of an attempt; its instance knows of an evacuation."""
    instance = state.instances_by_id.get(attempt.instance_id)
    if instance:
        request.evacuated_names.add(instance.data_centre)


def take_retry(state, request, now_s):
    """Return whether a request may be retried; if so, charge the retry budget.

    A retry after an evacuation is free, since the refusal costs the instance nothing
    and no flood can cause it.
    """
    may_have_run = any(a.state is not AttemptState.NOT_RUN for a in request.attempts)
    return (
        (request.kind.idempotent or not may_have_run)
        and len(request.attempts) < MAX_ATTEMPTS
        and choose(state, request, now_s) is not None
        and (is_evacuated(request) or state.retries.take())
    )


def is_evacuated(request):
    """Return whether the latest attempt was refused since its instance is evacuated."""
    attempt = request.attempts[-1] if request.attempts else None
    if attempt is None or attempt.state is not AttemptState.NOT_RUN:
        return False
    return request.refused.reason is RefusalReason.EVACUATED
