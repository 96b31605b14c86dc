"""Requests while data centres are evacuated: routed past them, retried or refused."""

import pytest

from bench.requestsite import DATA_CENTRE, Bench
from dotterelspread import agentevents as agent_events
from dotterelspread import entryevents as entry_events
from dotterelspread.entrysend import final_outcome
from dotterelspread.outcome import Completed, RefusalReason, Refused

OTHER_CENTRE = "takoradi"
REASON = "data centre kumasi was evacuated by ama"


def make_site(near_count):
    """Return agents in the entry's data centre, and one (``a2``) in another."""
    bench = Bench(7, entries=0, agents=0)
    bench.data_centre_by_agent = {"a2": OTHER_CENTRE}
    for number in range(near_count + 1):
        bench.start_agent(f"a{number}")
    bench.start_entry("e0")
    bench.run_for(1.0)
    return bench


@pytest.fixture
def site():
    return make_site(near_count=2)


def tell_entry(site, *names):
    event = entry_events.EvacuationsChanged(site.now_s, frozenset(names))
    site.dispatch(site.entries["e0"], event)


def tell_agents(site, *names):
    for agent in site.agents.values():
        centre = site.data_centre_by_agent.get(agent.process_id, DATA_CENTRE)
        reason = REASON if centre in names else ""
        site.dispatch(agent, agent_events.EvacuationChanged(site.now_s, reason))


def send(site, count, kind="fault"):
    for number in range(count):
        site.send("e0", kind, f"k{site.now_s}.{number}" if kind == "book" else None)
        site.run_for(0.2)


def outcomes(site):
    return [seen.outcome for seen in site.history.seen]


def ran_at(site, since_s=0.0):
    return {r.instance_id for r in site.history.runs if r.start_s >= since_s}


@pytest.mark.parametrize("kind", ["fault", "book"])
def test_an_entry_routes_past_an_evacuated_data_centre(site, kind):
    tell_entry(site, DATA_CENTRE)
    send(site, 10, kind)
    site.run_for(5.0)
    assert ran_at(site) == {"a2"}
    assert {type(outcome) for outcome in outcomes(site)} == {Completed}, outcomes(site)


@pytest.mark.parametrize("kind", ["fault", "book"])
def test_late_requests_are_refused_by_the_agent_and_run_elsewhere(site, kind):
    # An entry that has not read of the evacuation yet must start nothing there, and
    # evacuations must not use up the retries that are kept for floods.
    tell_agents(site, DATA_CENTRE)
    if kind == "fault":
        site.entries["e0"].state.retries.tokens = 0.0
    send(site, 10, kind)
    site.run_for(5.0)
    assert ran_at(site) == {"a2"}
    assert {type(outcome) for outcome in outcomes(site)} == {Completed}, outcomes(site)
    assert site.history.find_violations(is_complete=True) == []


@pytest.mark.parametrize("kind", ["fault", "book"])
def test_one_late_refusal_is_enough_to_leave_a_large_data_centre(kind):
    # Its other instances would use up the attempts of the request.
    site = make_site(near_count=12)
    tell_agents(site, DATA_CENTRE)
    send(site, 5, kind)
    site.run_for(5.0)
    assert ran_at(site) == {"a2"}
    assert {type(outcome) for outcome in outcomes(site)} == {Completed}, outcomes(site)


def test_running_requests_end_there_and_queued_ones_run_elsewhere(site):
    site.service_s["fault"] = 1.0
    for _ in range(6):
        site.send("e0", "fault")
    site.run_for(0.1)
    started = ran_at(site)
    assert started & {"a0", "a1"}
    assert any(site.agents[name].state.queued for name in ("a0", "a1"))
    since_s = site.now_s
    tell_agents(site, DATA_CENTRE)
    site.run_for(8.0)
    assert ran_at(site, since_s) <= {"a2"}
    assert all(run.end_s is not None for run in site.history.runs)
    assert len(outcomes(site)) == 6
    assert site.history.find_violations(is_complete=True) == []


@pytest.mark.parametrize("kind", ["fault", "book"])
@pytest.mark.parametrize("tell", [tell_entry, tell_agents])
def test_requests_are_refused_with_the_reason_if_all_is_evacuated(site, kind, tell):
    tell(site, DATA_CENTRE, OTHER_CENTRE)
    send(site, 3, kind)
    site.run_for(8.0)
    assert ran_at(site) == set()
    assert {outcome.reason for outcome in outcomes(site)} == {RefusalReason.EVACUATED}
    assert all(outcome.retry_after_s for outcome in outcomes(site))
    assert all(DATA_CENTRE in outcome.detail for outcome in outcomes(site))


def test_an_evacuated_entry_goes_on_serving(site):
    # Entries of the data centre still serve callers, at instances elsewhere.
    assert site.entries["e0"].state.location.data_centre == DATA_CENTRE
    tell_entry(site, DATA_CENTRE)
    send(site, 1)
    site.run_for(1.0)
    assert isinstance(outcomes(site)[0], Completed)


def test_a_claim_for_an_instance_that_is_evacuated_meanwhile_is_made_anew(site):
    # The claim names an instance; sending the request there would be a late start.
    site.append_delay_s = 0.5
    site.send("e0", "book", "k")
    site.run_for(0.1)
    tell_entry(site, DATA_CENTRE)
    site.run_for(5.0)
    assert ran_at(site) == {"a2"}
    assert isinstance(outcomes(site)[0], Completed)


def test_a_restored_data_centre_gets_requests_again(site):
    tell_entry(site, DATA_CENTRE)
    tell_agents(site, DATA_CENTRE)
    send(site, 3)
    tell_entry(site)
    tell_agents(site)
    since_s = site.now_s
    send(site, 10)
    site.run_for(2.0)
    assert ran_at(site, since_s) & {"a0", "a1"}


def test_other_refusals_name_the_data_centres_that_were_left_out(site):
    # "no capacity" alone would hide that room is left in the evacuated data centre.
    tell_entry(site, DATA_CENTRE)
    site.send("e0", "fault")
    state = site.entries["e0"].state
    (request,) = state.requests_by_id.values()
    request.attempts.clear()
    request.refused = Refused(RefusalReason.NO_CAPACITY, "full")
    outcome = final_outcome(state, request)
    assert outcome.reason is RefusalReason.NO_CAPACITY
    assert outcome.detail == "full; not tried: evacuated data centres: kumasi"
