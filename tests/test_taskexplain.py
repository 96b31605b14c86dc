import pytest

from bench.fleet import Fleet, job, spec
from dotterelspread.configuration import Configuration, SelectorConfig
from dotterelspread.taskevent import ConfigurationChanged
from dotterelspread.taskexplain import explain_task


@pytest.fixture(scope="module")
def state():
    fleet = Fleet(2)
    selector = SelectorConfig("gpu", {"needs": "gpu"}, {"has": "gpu"})
    configuration = Configuration(selectors_by_name={"gpu": selector})
    for agent in fleet.agents:
        fleet.send(agent, ConfigurationChanged, configuration)
    fleet.run(3)
    fleet.submit(job("a", spec("a/0", 30_000), spec("a/1", 30_000)))
    fleet.submit(job("b", spec("b/0", 8000)))
    fleet.submit(job("c", spec("c/0"), labels={"needs": "gpu"}))
    fleet.submit(job("d", spec("d/0", 99_000)))
    fleet.run(20)
    return fleet.agents[0].state


@pytest.mark.parametrize(
    ("task_id", "expected"),
    [
        ("a/0", "It runs on i0"),
        ("b/0", "2 are full for now; the most room is on i0"),
        ("c/0", "2 not allowed by the selectors: i00, i01."),
        ("d/0", "It ended as refused: never fits: needs 99000 millicores"),
        ("x", "not known in cell.0"),
    ],
)
def test_the_explanation_names_the_cause(state, task_id, expected):
    assert expected in "\n".join(explain_task(state, task_id))
