"""Steps of `processes.feature`, which runs real processes."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.demo import AGENTS, ENTRIES, KUMASI, TAKORADI, read_example
from standins.site import get, open_site, post
from tests.scenarios.caller import KINDS, Callers

scenarios("processes.feature")

RELAYED_AGENT = "agent-1"
CONFIGURATION_PATH = "/v1/operator/configuration"
CONFIGURATION_TIMEOUT_S = 4.0


@pytest.fixture
def site():
    with open_site() as site:
        yield site


@given(parsers.parse("2 entries and 3 agents with 8 slots and a service time of 30 ms"))
def _(site):
    site.start_entry("entry-1", KUMASI, ["cell.0", "cell.1"])
    site.start_entry("entry-2", TAKORADI, ["cell.0", "cell.1"])
    for name, place in zip(AGENTS, (KUMASI, KUMASI, TAKORADI), strict=True):
        relayed = name == RELAYED_AGENT
        site.start_agent(name, place, service_time_s=0.03, relayed=relayed)
    for name in ENTRIES:
        site.wait_for(name, "/healthz")
    assert publish(site, "entry-1", -1, read_example())["result"] == "accepted"
    site.wait_ready(*ENTRIES, *AGENTS)
    for name in ENTRIES:
        site.wait_for_agents(name, AGENTS)


@pytest.fixture
def callers(site):
    return Callers(site)


def publish(site, entry, base_version, text):
    document = {"base_version": base_version, "author": entry, "text": text}
    return post(site.url(entry) + CONFIGURATION_PATH, document)


def version(site, entry):
    return get(site.url(entry) + CONFIGURATION_PATH)["version"]


def kill(site, name):
    site.kill(name)


def kill_and_restart(site, name):
    site.kill(name)
    site.restart(name)


def freeze(site, name):
    site.signal(name, signal.SIGSTOP)
    time.sleep(3)
    site.signal(name, signal.SIGCONT)


def stop_log_for_3_s(site):
    post(site.url("log") + "/control", {"down": True})
    time.sleep(3)
    post(site.url("log") + "/control", {"down": False})


def change_centre(site, entry, action, base_version=-1):
    """Evacuate or restore Kumasi through an entry."""
    url = f"{site.url(entry)}/v1/operator/data-centres/{KUMASI.data_centre}/{action}"
    return post(url, {"base_version": base_version, "author": entry})


def status(site, entry):
    (row,) = get(site.url(entry) + "/v1/operator/status")["status"]
    return row


FAILURES = {
    "kumasi is evacuated at entry-1": lambda site: change_centre(
        site, "entry-1", "evacuate"
    ),
    "agent-1 is killed": lambda site: kill(site, "agent-1"),
    "agent-1 is frozen for 3 s": lambda site: freeze(site, "agent-1"),
    "agent-2 is killed and restarted": lambda site: kill_and_restart(site, "agent-2"),
    "the path to agent-1 stops responding": lambda site: site.set_relay_mode(
        "agent-1", "silence"
    ),
    "the path from agent-1 is cut in one direction": lambda site: site.set_relay_mode(
        "agent-1", "forward-only"
    ),
    "the log is down for 3 s": stop_log_for_3_s,
    "the log loses the replies to 20 appends": lambda site: post(
        site.url("log") + "/control", {"lose_replies": 20}
    ),
    "the log takes 400 ms for each call": lambda site: post(
        site.url("log") + "/control", {"slow_ms": 400}
    ),
    "answers of agent-1's backend server are truncated": lambda site: post(
        site.url("agent-1.backend") + "/control", {"cut_share": 0.5}
    ),
}


@when(parsers.parse("callers send {count:d} requests while {name} is stopped"))
def _(site, callers, count, name):
    stopper = threading.Thread(target=lambda: site.stop(name))
    callers.send(count, ENTRIES, stopper.start)
    stopper.join()


@when(parsers.re(r"callers send (?P<count>\d+) requests while (?P<failure>.+)"))
def _(site, callers, count, failure):
    callers.send(int(count), ENTRIES, lambda: FAILURES[failure](site))


@when("callers send 240 requests through entry-1 and entry-1 is killed")
def _(site, callers):
    callers.send(240, ("entry-1",), lambda: site.kill("entry-1"))


@when(parsers.parse("callers send {count:d} requests through both entries"))
def _(site, callers, count):
    callers.noted_runs_by_agent = callers.collect_runs(AGENTS)
    callers.send(count, ENTRIES)


@when("callers retry unanswered requests through entry-2")
def _(callers):
    callers.repeat_unanswered("entry-2")


@given("the log is down")
def _(site):
    post(site.url("log") + "/control", {"down": True})


@when(parsers.parse("{name} is drained by an operator at {entry}"))
def _(site, name, entry):
    post(f"{site.url(entry)}/v1/operator/instances/{name}/drain", {})


@when("kumasi is evacuated by an operator at entry-1")
def _(site):
    assert change_centre(site, "entry-1", "evacuate")["result"] == "accepted"


@when("kumasi is restored by an operator at entry-2")
def _(site):
    base_version = status(site, "entry-2")["evacuation_version"]
    result = change_centre(site, "entry-2", "restore", base_version)
    assert result["result"] == "accepted"


@when("the log goes down")
def _(site):
    post(site.url("log") + "/control", {"down": True})


@when("the log comes back")
def _(site):
    post(site.url("log") + "/control", {"down": False})


@when(parsers.re(r"(?P<name>(entry|agent)-\d) is killed and restarted"))
def _(site, name):
    kill_and_restart(site, name)
    site.wait_ready(name)


@when(
    "two operators restore it and evacuate it again on the same version",
    target_fixture="results",
)
def _(site):
    base = status(site, "entry-1")["evacuation_version"]
    calls = (("entry-1", "restore"), ("entry-2", "evacuate"))
    with ThreadPoolExecutor() as pool:
        return list(pool.map(lambda call: change_centre(site, *call, base), calls))


@when(parsers.parse("{seconds:d} s pass"))
def _(seconds):
    time.sleep(seconds)


@when(
    "two operators publish on the same base version at both entries",
    target_fixture="results",
)
def _(site):
    base = version(site, "entry-1")
    with ThreadPoolExecutor() as pool:
        return list(
            pool.map(lambda name: publish(site, name, base, read_example()), ENTRIES)
        )


@when("a second configuration is published", target_fixture="results")
def _(site):
    return [publish(site, "entry-1", version(site, "entry-1"), read_example())]


@when("all entries and agents are killed and restarted")
def _(site):
    for name in (*ENTRIES, *AGENTS):
        site.kill(name)
    for name in (*ENTRIES, *AGENTS):
        site.restart(name)
    site.wait_ready(*ENTRIES, *AGENTS)


@then("every caller has one outcome and the history has no faults")
def _(callers):
    callers.collect_runs(AGENTS)
    assert callers.history.find_violations(is_complete=True) == []
    assert not callers.history.disconnected_ids


@then("the history has no faults")
def _(callers):
    callers.collect_runs(AGENTS)
    assert callers.history.find_violations() == []


@then("every kind has completed requests")
def _(callers):
    assert callers.completed_kinds() == set(KINDS)


@then(parsers.parse("no request on {name} was interrupted"))
def _(site, callers, name):
    if name in AGENTS:
        runs = callers.collect_runs(AGENTS)[name]
        assert runs and all(run.end_s is not None for run in runs)
    assert not callers.history.disconnected_ids


@then(parsers.parse("{name} exited with code {code:d}"))
def _(site, name, code):
    assert site.processes_by_name[name].wait(1) == code


@then("agent-1 received none of them")
def _(callers):
    before = callers.noted_runs_by_agent["agent-1"]
    assert len(callers.collect_runs(AGENTS)["agent-1"]) == len(before)


def new_runs_in_kumasi(callers):
    runs_by_agent = callers.collect_runs(AGENTS)
    return sum(
        len(runs_by_agent[name]) - len(callers.noted_runs_by_agent[name])
        for name in ("agent-1", "agent-2")
    )


@then("no agent in kumasi received any of them")
def _(callers):
    assert new_runs_in_kumasi(callers) == 0


@then("agents in kumasi received some of them")
def _(callers):
    assert new_runs_in_kumasi(callers) > 0


@then("the restore is accepted, and both entries show kumasi as restored")
def _(site, results):
    # The evacuation either came first and changed nothing, or came too late.
    assert results[0]["result"] == "accepted"
    assert results[1]["result"] in ("unchanged", "superseded")
    deadline_s = time.monotonic() + CONFIGURATION_TIMEOUT_S
    while any(status(site, name)["evacuated"] for name in ENTRIES):
        assert time.monotonic() < deadline_s, [status(site, n) for n in ENTRIES]
        time.sleep(0.1)
    (version,) = {status(site, name)["evacuation_version"] for name in ENTRIES}
    assert version == results[0]["version"]


@then("one is accepted and one is superseded")
def _(results):
    assert sorted(result["result"] for result in results) == ["accepted", "superseded"]


@then(
    parsers.re(r"both entries have the accepted version within 4 s( of being ready)?")
)
def _(site, results):
    accepted = next(r["version"] for r in results if r["result"] == "accepted")
    deadline_s = time.monotonic() + CONFIGURATION_TIMEOUT_S
    while {version(site, name) for name in ENTRIES} != {accepted}:
        assert time.monotonic() < deadline_s, [version(site, name) for name in ENTRIES]
        time.sleep(0.1)
