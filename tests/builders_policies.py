"""Builders of claimants, summaries, batch tasks and usage reports for tests."""

from hypothesis import strategies as st

from dotterelspread.configuration import TeamConfig
from dotterelspread.controller import BatchTask
from dotterelspread.interference import UsageSample
from dotterelspread.maxmin import Claimant
from dotterelspread.resources import Resources
from dotterelspread.summary import summarize

TEAMS = ("ana", "kofi", "lia", "yaw")
CELLS = ("north", "south", "west")


def cores(amount, memory_mb=0):
    return Resources(int(amount * 1000), memory_mb)


def team(name, quota_cores=0, weight=1.0):
    return TeamConfig(name, cores(quota_cores), weight)


def summary(cell, capacity_cores, used=None, waiting=None, as_of=0):
    """Return a cell's summary; amounts are given as cores by team."""
    return summarize(
        cell,
        as_of,
        cores(capacity_cores),
        {name: cores(amount) for name, amount in (used or {}).items()},
        {name: cores(amount) for name, amount in (waiting or {}).items()},
    )


amounts = st.integers(0, 5000)
configs = st.fixed_dictionaries(
    {
        name: st.builds(
            TeamConfig,
            st.just(name),
            st.builds(Resources, amounts, amounts, st.integers(0, 4)),
            st.sampled_from((0.5, 1.0, 2.0)),
        )
        for name in TEAMS
    }
)
demands = st.dictionaries(
    st.sampled_from(TEAMS), st.builds(Resources, amounts, amounts)
)
summaries = st.builds(
    summarize,
    st.sampled_from(CELLS),
    st.just(0),
    st.builds(Resources, amounts, amounts, st.integers(0, 8)),
    demands,
    demands,
)


@st.composite
def shared_cells(draw):
    """Return claimants and capacities by cell; quotas and weights are by team."""
    quotas = {name: draw(st.integers(0, 3000)) for name in TEAMS}
    weights = {name: draw(st.sampled_from((0.5, 1.0, 2.0))) for name in TEAMS}
    claimants, capacities = {}, {}
    for cell in CELLS:
        capacities[cell] = draw(amounts)
        names = sorted(draw(st.sets(st.sampled_from(TEAMS))))
        claimants[cell] = [
            Claimant(name, draw(amounts), quotas[name], weights[name]) for name in names
        ]
    return claimants, capacities


def batch(program, wanted_cores, count=1, unsaved_s=0.0):
    return [
        BatchTask(f"{program}-{index}", program, wanted_cores, unsaved_s)
        for index in range(count)
    ]


def sample(end_s, p99_s, load=0.5, length_s=10.0):
    return UsageSample(end_s - length_s, end_s, load, p99_s)
