"""HTTP API for operators: configuration, listings, explanations and drains."""

import msgspec
from starlette.responses import JSONResponse
from starlette.routing import Route

from .callerrequest import CallerRequestError
from .document import Fault
from .httpbody import BodyError, read_body
from .httpproblem import error_response, problem_response
from .outcome import Outcome

__all__ = ["OperatorHttp", "PublishRequest"]

#: Subjects that can be listed.
SUBJECTS = ("instances", "tasks", "requests", "refusals", "evacuations", "status")


class PublishRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to publish a configuration."""

    #: Version on which the operator based the new one; -1 for none.
    base_version: int
    author: str
    text: str


class OperatorHttp:
    """Handlers of the operator API at an entry.

    Parameters
    ----------
    node : Node
    configuration : ConfigurationPart
    views : ViewPart
    """

    def __init__(self, node, configuration, views):
        self._node = node
        self._configuration = configuration
        self._views = views

    def routes(self):
        """Return the Starlette routes."""
        base = "/v1/operator"
        return [
            Route(f"{base}/configuration", self.show_configuration, methods=["GET"]),
            Route(f"{base}/configuration", self.publish, methods=["POST"]),
            Route(f"{base}/explain/{{subject_id}}", self.explain, methods=["GET"]),
            Route(
                f"{base}/instances/{{instance_id}}/drain", self.drain, methods=["POST"]
            ),
            Route(f"{base}/{{subject}}", self.show, methods=["GET"]),
        ]

    async def show_configuration(self, request):
        """Return the configuration in force and its version."""
        version, text = self._configuration.current()
        return JSONResponse({"version": version, "text": text})

    async def publish(self, request):
        """Publish a configuration and return the result."""
        try:
            body = await read_body(request, self._node.settings.limits)
            publish = msgspec.json.decode(body, type=PublishRequest)
        except BodyError as error:
            return error_response(error)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            allowed = "a JSON object with base_version, author and text"
            return _bad_request("body", str(error), allowed)
        result = await self._configuration.publish(publish)
        if isinstance(result, Outcome):
            return problem_response(result)
        return JSONResponse(msgspec.to_builtins(result))

    async def show(self, request):
        """List the rows of one subject."""
        subject = request.path_params["subject"]
        if subject not in SUBJECTS:
            return _bad_request("subject", subject, f"one of {', '.join(SUBJECTS)}")
        rows = await self._views.rows(subject)
        return JSONResponse({subject: msgspec.to_builtins(rows)})

    async def explain(self, request):
        """Explain the state of a job, a task, a request or a data centre."""
        subject_id = request.path_params["subject_id"]
        lines = await self._views.explain(subject_id)
        return JSONResponse({"id": subject_id, "explanation": lines})

    async def drain(self, request):
        """Ask an instance to leave once its work in progress is done."""
        instance_id = request.path_params["instance_id"]
        outcome = await self._views.drain(instance_id)
        if outcome is not None:
            return problem_response(outcome)
        return JSONResponse({"instance_id": instance_id, "draining": True}, 202)


def _bad_request(field, found, allowed):
    return error_response(CallerRequestError([Fault("request", field, found, allowed)]))
