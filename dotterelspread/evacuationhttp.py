"""HTTP API with which operators evacuate and restore data centres."""

from dataclasses import asdict, dataclass

import msgspec
from starlette.responses import JSONResponse
from starlette.routing import Route

from .callerrequest import CallerRequestError
from .document import Fault, shorten
from .evacuations import EvacuationFate, format_time
from .httpbody import BodyError, read_body
from .httpproblem import error_response, problem_response
from .outcome import Outcome
from .textform import NAME, NON_EMPTY, TextForm

__all__ = ["ChangeRequest", "ChangeView", "EvacuationHttp"]


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to evacuate or restore a data centre."""

    #: Version of the evacuations that the operator had read; -1 for none.
    base_version: int
    author: str
    #: Whether the last data centre with agents may be evacuated.
    allow_last: bool = False


@dataclass(slots=True, frozen=True)
class ChangeView:
    """Result of a request to evacuate or restore a data centre."""

    data_centre: str
    #: ``accepted``, ``unchanged``, ``superseded`` or ``rejected``.
    result: str
    #: State after the request, and the version, author and time (UTC) of its change;
    #: -1 and empty if it was never changed.
    evacuated: bool
    version: int
    author: str
    since: str
    #: Number of agents in the data centre that the entry knows.
    agents: int

    @classmethod
    def from_result(cls, data_centre, result, agents):
        """Convert an `EvacuationResult`."""
        centre = result.centre
        if centre is None:
            state = (False, -1, "", "")
        else:
            since = format_time(centre.changed_at)
            state = (centre.is_evacuated, centre.version, centre.author, since)
        return cls(data_centre, result.fate.value, *state, agents)


class EvacuationHttp:
    """Handlers of the changes of evacuated data centres at an entry.

    Parameters
    ----------
    node : Node
    members : MemberPart
    evacuations : EvacuationPart
    """

    def __init__(self, node, members, evacuations):
        self._node = node
        self._members = members
        self._evacuations = evacuations

    def routes(self):
        """Return the Starlette routes."""
        base = "/v1/operator/data-centres/{data_centre:path}"
        return [
            Route(f"{base}/evacuate", self.evacuate, methods=["POST"]),
            Route(f"{base}/restore", self.restore, methods=["POST"]),
        ]

    async def evacuate(self, request):
        """Ask that nothing new is started in a data centre."""
        return await self._change(request, is_evacuated=True)

    async def restore(self, request):
        """Take an evacuation back."""
        return await self._change(request, is_evacuated=False)

    async def _change(self, request, is_evacuated):
        data_centre = request.path_params["data_centre"]
        try:
            change = await self._read_change(request, data_centre)
            if is_evacuated and not change.allow_last:
                self._check_not_last(data_centre)
        except (BodyError, CallerRequestError) as error:
            return error_response(error)
        result = await self._evacuations.change(
            data_centre, is_evacuated, change.base_version, change.author
        )
        if isinstance(result, Outcome):
            return problem_response(result)
        if result.fate is EvacuationFate.REJECTED:
            allowed = "fewer evacuated data centres: restore some first"
            return error_response(_fault("data_centre", data_centre, allowed))
        agents = self._members.count_agents(data_centre)
        return JSONResponse(asdict(ChangeView.from_result(data_centre, result, agents)))

    async def _read_change(self, request, data_centre):
        _check("data_centre", data_centre, NAME)
        body = await read_body(request, self._node.settings.limits)
        try:
            change = msgspec.json.decode(body, type=ChangeRequest)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            allowed = "a JSON object with base_version, author and allow_last"
            raise _fault("body", str(error), allowed) from error
        _check("author", change.author, NON_EMPTY)
        return change

    def _check_not_last(self, data_centre):
        """Refuse to leave no agent outside evacuated data centres.

        Two operators who evacuate the last two at the same time are not prevented.
        """
        agents = self._members.agents()
        evacuated_names = self._evacuations.names | {data_centre}
        open_now = [a for a in agents if a.data_centre not in self._evacuations.names]
        if not any(a.data_centre == data_centre for a in open_now):
            return
        if all(a.data_centre in evacuated_names for a in agents):
            allowed = "another data centre with agents left, or allow_last (--last)"
            raise _fault("data_centre", data_centre, allowed)


def _check(field, value, form: TextForm):
    if not form.accepts(value):
        raise _fault(field, shorten(value), form.description)


def _fault(field, found, allowed):
    return CallerRequestError([Fault("request", field, found, allowed)])
