"""HTTP error responses for callers and operators."""

from starlette.responses import Response

from .httpbody import BodyError
from .outcome import RefusalReason, Refused
from .problem import describe_outcome

__all__ = [
    "error_response",
    "faults_from_error",
    "problem_response",
    "refusal_from_error",
]


def problem_response(outcome, request_id="", faults=()):
    """Return the problem response for an outcome other than `Completed`."""
    problem = describe_outcome(outcome, request_id, faults)
    return Response(problem.body, problem.status, headers=dict(problem.headers))


def refusal_from_error(error):
    """Return the `Refused` for an invalid or unreadable request."""
    if isinstance(error, BodyError):
        return error.refused
    return Refused(RefusalReason.BAD_REQUEST, str(error))


def faults_from_error(error):
    """Return the faults listed in an error; none for a `BodyError`."""
    return () if isinstance(error, BodyError) else error.faults


def error_response(error):
    """Return the problem response for an invalid or unreadable request."""
    return problem_response(refusal_from_error(error), faults=faults_from_error(error))
