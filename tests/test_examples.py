"""Every example file is valid, and its kinds and objectives are as intended."""

from dotterelspread.configreader import read_configuration, write_configuration
from dotterelspread.document import load_document
from dotterelspread.jobrequest import read_job_values
from dotterelspread.settings import DaemonSettings

from .builders_tools import EXAMPLES, example_text

CONFIGURATIONS = {"akwaaba.yaml", "sabor-agil.yaml"}
SETTINGS = {"entry.yaml", "agent.yaml"}
JOBS = {"job.yaml"}


def read_example(name):
    return read_configuration(example_text(name), name)


def test_all_files_are_valid():
    assert {p.name for p in EXAMPLES.iterdir()} == CONFIGURATIONS | SETTINGS | JOBS
    for name in CONFIGURATIONS:
        configuration = read_example(name)
        written = write_configuration(configuration)
        assert read_configuration(written, name) == configuration
    for name in SETTINGS:
        assert DaemonSettings.from_file(EXAMPLES / name).role.value in name
    for name in JOBS:
        job = read_job_values(load_document(example_text(name), name), name)
        assert job.team in read_example("akwaaba.yaml").teams_by_name


def test_only_kinds_that_may_run_twice_are_idempotent():
    akwaaba, sabor = map(read_example, sorted(CONFIGURATIONS))
    dispatch = akwaaba.services_by_name["dispatch"].kinds_by_name
    desk = sabor.services_by_name["trial-desk"].kinds_by_name
    repeatable = {kind.name for kind in dispatch.values() if kind.idempotent}
    assert repeatable == {"fault-call", "price-visit", "report"}
    assert not desk["panel-run"].idempotent and not desk["culture-watch"].idempotent
    assert akwaaba.objectives.batch_weight > akwaaba.objectives.latency_weight
    assert sabor.objectives.latency_weight > sabor.objectives.batch_weight
