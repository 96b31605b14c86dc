import random
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.quota import QuotaState, SummaryRead
from dotterelspread.reducer import reduce
from dotterelspread.resources import Resources

from .builders_policies import (
    CELLS,
    TEAMS,
    configs,
    cores,
    summaries,
    summary,
    team,
)

NO_RESOURCES = Resources()
STREAM = st.lists(summaries, min_size=1, max_size=12)
RESOURCES = Resources.__struct_fields__


def read(teams_by_name, stream, ask=False):
    state = QuotaState(teams_by_name)
    for offset, record in enumerate(stream):
        state.apply(offset, record)
        if ask:
            state.allowance(record.cell, TEAMS[0])
            state.apply(offset, record)
    return state


def shares(state):
    return {
        (cell, name): state.allowance(cell, name) for cell in CELLS for name in TEAMS
    }


@settings(derandomize=True, max_examples=40, deadline=None)
@given(configs, STREAM)
def test_queries_and_repeated_summaries_do_not_change_shares(configs, stream):
    assert shares(read(configs, stream)) == shares(read(configs, stream, ask=True))


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    configs, st.lists(summaries, min_size=3, unique_by=lambda s: s.cell), st.randoms()
)
def test_shares_do_not_depend_on_the_order_of_a_round(configs, round_, rng):
    other = list(round_)
    rng.shuffle(other)
    last = [round_[0]] * len(round_)
    assert shares(read(configs, round_ + last)) == shares(read(configs, other + last))


@settings(derandomize=True, max_examples=40, deadline=None)
@given(configs, STREAM, st.sampled_from(TEAMS), st.sampled_from(CELLS))
def test_allowances_fit_capacity_and_entitlement_is_no_smaller(
    configs, stream, name, cell
):
    state = read(configs, stream + stream[-1:] * len(CELLS))
    latest = {record.cell: record for record in stream}
    for known, record in latest.items():
        if not state.is_stale(known):
            total = sum((state.allowance(known, t) for t in TEAMS), NO_RESOURCES)
            assert total.fits_in(record.capacity)
    allowed, entitled = state.allowance(cell, name), state.entitlement(cell, name)
    for resource in RESOURCES:
        assert getattr(entitled, resource) >= getattr(allowed, resource) - len(TEAMS)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(configs, STREAM, st.sampled_from(TEAMS))
def test_capacity_that_nobody_waits_for_is_lent(configs, stream, name):
    last = stream[-1]
    idle = summary(last.cell, 64)
    state = read(configs, [*stream, *[idle] * len(CELLS)])
    assert state.may_start(last.cell, name, cores(60), cores(4)).allowed


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(1, 40))
def test_excess_demand_of_one_team_leaves_the_others_their_quota(rng, used):
    teams = {name: team(name, quota_cores=16) for name in TEAMS}
    wanted = {name: rng.randint(0, 16) for name in TEAMS[1:]}
    flood = {TEAMS[0]: 64}
    record = summary("north", 64, used=flood, waiting={**wanted, TEAMS[0]: 10_000})
    state = read(teams, [record, record])
    for name, amount in wanted.items():
        assert state.allowance("north", name) == cores(amount)
        if amount:
            decision = state.may_start("north", name, NO_RESOURCES, cores(1))
            assert decision.allowed and decision.may_preempt
    victims = state.excess("north", {TEAMS[0]: cores(64)}, TEAMS[1], cores(used))
    assert [victim.team for victim in victims] == [TEAMS[0]]
    assert not state.may_start("north", TEAMS[0], cores(64), cores(1)).allowed


def test_shares_of_a_silent_cell_are_frozen_and_count_against_its_teams():
    teams = {name: team(name) for name in TEAMS[:2]}
    both = dict.fromkeys(TEAMS[:2], 40)
    silent = summary("south", 40, used={TEAMS[0]: 40}, waiting={TEAMS[1]: 40})
    live = summary("north", 40, waiting=both)
    state = read(teams, [silent, live])
    assert state.allowance("south", TEAMS[1]) != NO_RESOURCES
    state = read(teams, [silent] + [live] * 8)
    assert state.is_stale("south")
    assert state.allowance("south", TEAMS[0]) == cores(40)
    assert state.allowance("north", TEAMS[1]) == cores(40)
    assert "silent" in state.explain(TEAMS[1])


def test_a_late_reader_agrees_once_every_cell_has_sent_a_summary():
    rng = random.Random(5)
    teams = {name: team(name, 10) for name in TEAMS}
    stream = [
        summary(
            CELLS[i % 3], 30, waiting={n: rng.randint(0, 30) for n in TEAMS}, as_of=i
        )
        for i in range(12)
    ]
    early, late = read(teams, stream), QuotaState(teams)
    for offset, record in list(enumerate(stream))[6:]:
        late.apply(offset, record)
    assert shares(early) == shares(late)


def test_the_reducer_applies_summaries():
    state = SimpleNamespace(quota=QuotaState({}))
    assert reduce(SummaryRead(0.0, 3, summary("north", 8)), state) == []
    assert state.quota.offset == 3
