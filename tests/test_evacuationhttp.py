"""The HTTP API that evacuates and restores data centres: checks and answers."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from starlette.routing import Match

from dotterelspread.evacuationhttp import EvacuationHttp
from tests.builders_evacuations import Site
from tests.virtualloop import run_virtually

LIMITS = SimpleNamespace(max_body=1 << 20, body_timeout_s=5.0)
KUMASI, TAKORADI = "kumasi", "takoradi"


class FakeMembers:
    """Lists agents in some data centres."""

    def __init__(self, *data_centres):
        self.data_centres = data_centres

    def agents(self):
        return [SimpleNamespace(data_centre=name) for name in self.data_centres]

    def count_agents(self, data_centre):
        return self.data_centres.count(data_centre)


def make_http(site, *data_centres):
    process = site.processes[0]
    node = SimpleNamespace(settings=SimpleNamespace(limits=LIMITS))
    return EvacuationHttp(node, FakeMembers(*data_centres), process.part)


async def call(http, path, document):
    """Return status and document of the answer to a POST."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    scope = {"type": "http", "method": "POST", "path": f"/v1/operator/{path}"}

    async def stream():
        yield body

    for route in http.routes():
        match, child = route.matches(scope)
        if match is Match.FULL:
            request = SimpleNamespace(path_params=child["path_params"], stream=stream)
            answer = await route.endpoint(request)
            return answer.status_code, json.loads(answer.body)
    raise AssertionError(f"no route for {path}")


def play(scenario, *data_centres):
    async def run():
        site = Site(1)
        await asyncio.sleep(1)
        await scenario(site, make_http(site, *data_centres))

    run_virtually(run())


def body(base=-1, author="ama", **fields):
    return {"base_version": base, "author": author, **fields}


def test_a_change_is_answered_with_its_version_author_and_time():
    async def scenario(site, http):
        path = "data-centres/kumasi/evacuate"
        status, document = await call(http, path, body())
        assert (status, document["result"], document["agents"]) == (200, "accepted", 2)
        assert document["evacuated"] and document["author"] == "ama"
        assert document["since"].endswith("UTC")
        repeated = (await call(http, path, body(author="kofi")))[1]
        assert repeated == document | {"result": "unchanged"}
        path = "data-centres/kumasi/restore"
        late = (await call(http, path, body(document["version"] - 1)))[1]
        assert late == document | {"result": "superseded"}
        restored = (await call(http, path, body(document["version"])))[1]
        assert (restored["result"], restored["evacuated"]) == ("accepted", False)
        assert restored["version"] > document["version"]

    play(scenario, KUMASI, KUMASI, TAKORADI)


def test_an_unknown_data_centre_can_be_evacuated_before_its_agents_come():
    async def scenario(site, http):
        answer = await call(http, "data-centres/tamale/evacuate", body())
        assert (answer[0], answer[1]["agents"]) == (200, 0)
        answer = await call(http, "data-centres/obuasi/restore", body())
        assert (answer[0], answer[1]["result"]) == (200, "unchanged")

    play(scenario, KUMASI)


@pytest.mark.parametrize(
    ("path", "document", "field"),
    [
        (f"data-centres/{'a' * 64}/evacuate", body(), "data_centre"),
        ("data-centres/a/b/evacuate", body(), "data_centre"),
        ("data-centres//evacuate", body(), "data_centre"),
        ("data-centres/ku masi/restore", body(), "data_centre"),
        ("data-centres/kumasi/evacuate", body(author=""), "author"),
        ("data-centres/kumasi/evacuate", body(author="a" * 2000), "author"),
        ("data-centres/kumasi/evacuate", body(base="x"), "body"),
        ("data-centres/kumasi/evacuate", body(reason="fire"), "body"),
        ("data-centres/kumasi/evacuate", b"{", "body"),
    ],
)
def test_an_invalid_request_names_the_field_and_changes_nothing(path, document, field):
    async def scenario(site, http):
        status, problem = await call(http, path, document)
        assert status == 400
        assert [error["field"] for error in problem["errors"]] == [field]
        assert site.processes[0].part.names == frozenset()

    play(scenario, KUMASI, TAKORADI)


def test_the_last_data_centre_with_agents_needs_a_flag():
    # A slip of the name must not stop all work.
    async def scenario(site, http):
        assert (await call(http, "data-centres/kumasi/evacuate", body()))[0] == 200
        path = "data-centres/takoradi/evacuate"
        status, problem = await call(http, path, body())
        assert (status, problem["errors"][0]["field"]) == (400, "data_centre")
        assert "--last" in problem["errors"][0]["allowed"]
        # Repeating the first one is no new evacuation.
        assert (await call(http, "data-centres/kumasi/evacuate", body()))[0] == 200
        status, document = await call(http, path, body(allow_last=True))
        assert (status, document["result"]) == (200, "accepted")

    play(scenario, KUMASI, TAKORADI)


def test_a_change_without_the_log_is_refused_as_not_done():
    async def scenario(site, http):
        site.processes[0].log.is_up = False
        status, problem = await call(http, "data-centres/kumasi/evacuate", body())
        assert (status, problem["reason"]) == (503, "store-unavailable")
        assert problem["executed"] == "no"

    play(scenario, KUMASI, TAKORADI)
