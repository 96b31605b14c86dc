"""docs/OPERATIONS.md is consistent with the code."""

import re
from pathlib import Path

from dotterelspread.problem import STATUS_BY_REASON
from dotterelspread.verb import ExitCode, get_verb, verb_names

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "dotterelspread"
TEXT = (ROOT / "docs/OPERATIONS.md").read_text()
READ_FIELD = re.compile(
    r'(?:options\.\w+|timeout|lease|_read_each)\(\s*(?:options, )?"(\w+)"'
)


def code(pattern, *names):
    paths = [PACKAGE / name for name in names] or PACKAGE.rglob("*.py")
    return {found for path in paths for found in re.findall(pattern, path.read_text())}


def test_each_refusal_is_listed_with_its_status():
    listed = dict(re.findall(r"^\| `([a-z-]+)` \| (\d{3}) \|", TEXT, re.MULTILINE))
    coded = {reason.value: str(int(s)) for reason, s in STATUS_BY_REASON.items()}
    assert listed == coded | {"outcome-unknown": "504", "failed": "502"}


def test_each_verb_and_exit_code_is_listed():
    for name in verb_names():
        call = " ".join([name, *get_verb(name).arguments])
        assert f"`{call}`" in TEXT or name == "show"
    listed = re.findall(r"^\| (\d) \|", TEXT, re.MULTILINE)
    assert listed == [str(int(exit_code)) for exit_code in ExitCode]


def test_each_field_of_settings_and_configuration_is_listed():
    fields = code(READ_FIELD, "settings.py", "configreader.py")
    assert len(fields) > 40
    listed = set(re.findall(r"\w+", " ".join(re.findall(r"`([^`]+)`", TEXT))))
    assert fields - listed == set()


def test_listed_counters_are_the_counters_in_the_code():
    listed = set(re.findall(r"`dotterelspread_(\w+)_total`", TEXT))
    assert listed == code(r'\.count\("(\w+)"')


def test_each_message_of_the_decision_log_is_listed():
    messages = code(r'log_decision\(\s*"([^"]+)"')
    assert len(messages) > 40
    listed = set(re.findall(r"`([^`]+)`", TEXT))
    assert messages - listed == set()


def test_each_header_is_listed():
    headers = re.findall(r"^\| `([A-Za-z-]+)` \|", TEXT, re.MULTILINE)
    read = code(r'_HEADER = "([a-z-]+)"', "callerrequest.py")
    assert read <= {header.lower() for header in headers}
