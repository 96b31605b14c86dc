"""Steps of the request scenarios, run on the simulated site in virtual time."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.requestsite import Bench
from dotterelspread.outcome import Completed, Refused, Unknown

scenarios("requests.feature")

POLL_INTERVAL_S = 0.001
MAX_WAIT_S = 2.0


class Scene:
    """The simulated site of a scenario and the ids of the requests sent."""

    def __init__(self):
        self.bench = Bench(seed=1, agents=0, entries=0)
        self.ids = {}
        self.last_id = None

    def send(self, name, entry, kind, **arguments):
        self.last_id = self.bench.send(entry, kind, name, **arguments)
        self.ids.setdefault((name, entry), self.last_id)

    def runs(self, name):
        ids = {i for (sent, _), i in self.ids.items() if sent == name}
        return [run for run in self.bench.history.runs if run.request_id in ids]

    def run_until(self, condition):
        end_s = self.bench.now_s + MAX_WAIT_S
        while not condition():
            assert self.bench.now_s < end_s
            self.bench.run_for(POLL_INTERVAL_S)

    def check(self, request_id, expected):
        outcome = self.bench.outcome(request_id)
        assert described(outcome) == expected
        assert self.bench.history.find_violations() == []


def described(outcome):
    match outcome:
        case None:
            return "no outcome yet"
        case Completed():
            return "completed"
        case Unknown():
            return "unknown"
        case Refused(reason):
            return f"refused {reason}"
    return type(outcome).__name__


@pytest.fixture
def scene():
    return Scene()


@given(parsers.parse("entries {first} and {second}"))
def _(scene, first, second):
    scene.bench.start_entry(first)
    scene.bench.start_entry(second)


@given(parsers.parse("agents {names}"))
def _(scene, names):
    for name in names.split(" and "):
        scene.bench.start_agent(name)
    scene.bench.run_for(0.1)


@when(parsers.parse("a caller books {key} through {entry}"))
def _(scene, key, entry):
    scene.send(key, entry, "book")


@when(parsers.parse("a caller sends another body with {key} through {entry}"))
def _(scene, key, entry):
    scene.send(key, entry, "book", fingerprint=b"other")


@when(parsers.parse("a caller asks for {name} through {entry}"))
def _(scene, name, entry):
    scene.send(name, entry, "fault")


@when(parsers.parse('"{name}" has started'))
def _(scene, name):
    scene.run_until(lambda: scene.runs(name))


@when(parsers.parse("{entry} has read its claim of {key}"))
def _(scene, entry, key):
    state = scene.bench.entries[entry].state
    request = state.requests_by_id[scene.ids[key, entry]]
    scene.run_until(lambda: request.attempts)


@when(parsers.parse("{seconds:g} s pass"))
def _(scene, seconds):
    scene.bench.run_for(seconds)


@when(parsers.parse("runs take {seconds:g} s"))
def _(scene, seconds):
    scene.bench.service_s = dict.fromkeys(scene.bench.service_s, seconds)


@when(parsers.parse("appends take {seconds:g} s"))
def _(scene, seconds):
    scene.bench.append_delay_s = seconds


@when(parsers.parse("answers take {size:d} bytes"))
def _(scene, size):
    scene.bench.answer_bytes = size


@when(parsers.parse("the connection of {entry} to {agent} stops responding"))
def _(scene, entry, agent):
    scene.bench.silent_connections.add(scene.bench.connection(entry, agent))


@when(parsers.parse("entry {entry} crashes"))
def _(scene, entry):
    scene.bench.kill_entry(entry)


@when(parsers.parse("{entry} is suspended"))
def _(scene, entry):
    scene.bench.entries[entry].is_frozen = True


@when(parsers.parse("{entry} resumes"))
def _(scene, entry):
    scene.bench.thaw(scene.bench.entries[entry])


@when("the store goes down")
def _(scene):
    scene.bench.is_store_up = False


@when("the store comes back")
def _(scene):
    scene.bench.is_store_up = True


@when(parsers.parse("agent {agent} starts"))
def _(scene, agent):
    scene.bench.start_agent(agent)
    scene.bench.run_for(0.05)


@when(parsers.parse("agent {agent} restarts"))
def _(scene, agent):
    scene.bench.restart_agent(agent)


@when(parsers.parse("agent {agent} crashes without notice"))
def _(scene, agent):
    scene.bench.kill_agent(agent, is_noticed=False)


@when(parsers.parse("agent {agent} starts to drain"))
def _(scene, agent):
    scene.bench.drain(agent, announce_s=1.0)


@then(parsers.parse("the caller of {name} through {entry} got {expected}"))
def _(scene, name, entry, expected):
    scene.check(scene.ids[name, entry], expected)


@then(parsers.parse("the last caller got {expected}"))
def _(scene, expected):
    scene.check(scene.last_id, expected)


@then(parsers.parse('"{name}" was run once'))
def _(scene, name):
    assert len(scene.runs(name)) == 1
    assert scene.bench.history.find_violations() == []


@then(parsers.parse('"{name}" was not run'))
def _(scene, name):
    assert scene.runs(name) == []
