"""Steps of cmdline.feature: the command-line tool against a fake entry."""

import json
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from dotterelspread.cmdline import main

from ..builders_cmdline import PROBLEM_TYPE, open_entry
from ..builders_tools import EXAMPLES, example_text

scenarios("cmdline.feature")

CONFIGURATION = "/v1/operator/configuration"
PUBLISH = f"POST {CONFIGURATION}"
READ = f"GET {CONFIGURATION}"


@dataclass
class Shell:
    entry: object
    folder: Path
    capture: object
    code: int = -1
    output: str = ""
    errors: str = ""
    command: str = ""
    publications: list = field(default_factory=list)

    def run(self, command):
        self.command = command
        paths = {p.name: str(p) for p in EXAMPLES.iterdir()}
        paths["saved"] = str(self.folder / "saved")
        paths["long"] = "a" * 64
        words = command.split()
        for index, word in enumerate(words):
            if word.startswith("{"):
                words[index] = paths[word[1:-1]]
        if "--entry" not in command:
            words.append(f"--entry={self.entry.url}")
        self.code = main(["dotterelspread", *words])
        self.output, self.errors = self.capture.readouterr()


@pytest.fixture
def shell(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr("dotterelspread.verbs.apply.READ_BACK_INTERVAL_S", 0)
    monkeypatch.setattr("dotterelspread.verbs.centrechange.REPEAT_INTERVAL_S", 0)
    with open_entry() as entry:
        yield Shell(entry, tmp_path, capsys)


@given(parsers.parse("version {version:d} is in force"))
def _(shell, version):
    shell.entry.replies_by_call.pop(READ, None)
    shell.entry.reply(READ, 200, {"version": version, "text": "teams: {}\n"})


@given(parsers.parse("the evacuations have version {version:d}"))
def _(shell, version):
    rows = [{"ready": True, "evacuation_version": version}]
    shell.entry.reply("GET /v1/operator/status", 200, {"status": rows})


@given(parsers.parse('version {version:d} is in force with the text of "{name}"'))
def _(shell, version, name):
    shell.entry.reply(READ, 200, {"version": version, "text": example_text(name)})


@given(
    parsers.parse(
        'the entry answers a publication with "{result}" and version {version:d}'
    )
)
def _(shell, result, version):
    document = {"result": result, "version": version, "faults": []}
    shell.entry.reply(PUBLISH, 200, document)


@given(parsers.parse('the entry rejects a publication with "{fault}"'))
def _(shell, fault):
    document = {"result": "rejected", "version": 7, "faults": [fault]}
    shell.entry.reply(PUBLISH, 200, document)


@given("the answer to a publication is lost")
def _(shell):
    shell.entry.lose(PUBLISH)


@given(parsers.parse('the answer to "{call}" is lost'))
def _(shell, call):
    shell.entry.lose(call)


@given(parsers.parse('the operator saves what "{command}" prints'))
def _(shell, command):
    shell.run(command)
    assert shell.code == 0
    (shell.folder / "saved").write_text(shell.output)


@given(
    parsers.parse(
        'the entry answers "{call}" with a problem executed "{executed}" '
        "and status {status:d}"
    )
)
def _(shell, call, executed, status):
    problem = {"title": "told", "reason": "a-reason", "executed": executed}
    shell.entry.reply(call, status, problem, PROBLEM_TYPE)


@given(parsers.re(r'the entry answers "(?P<call>[^"]+)" with (?P<document>\{.*\})'))
def _(shell, call, document):
    shell.entry.reply(call, 200, json.loads(document))


@given(parsers.parse('the entry answers "{call}" with the text "{text}"'))
def _(shell, call, text):
    shell.entry.reply_bytes(call, 200, text.encode())


@when(parsers.parse('the operator runs "{command}"'))
def _(shell, command):
    shell.run(command)


@then(parsers.parse("the exit code is {code:d}"))
def _(shell, code):
    assert shell.code == code, shell.errors


@then(parsers.re(r'the output contains "(?P<text>.*)"$'))
def _(shell, text):
    assert text in shell.output


@then(parsers.re(r'the error output contains "(?P<text>.*)"$'))
def _(shell, text):
    assert text in shell.errors and not shell.output


@then(parsers.parse('the publication was based on version {version:d} by "{author}"'))
def _(shell, version, author):
    (document,) = publications(shell)
    assert (document["base_version"], document["author"]) == (version, author)


@then(parsers.parse("the publication was based on version {version:d}"))
def _(shell, version):
    (document,) = publications(shell)
    assert document["base_version"] == version


@then(parsers.parse("the change was based on version {version:d}"))
def _(shell, version):
    (document,) = changes(shell)
    assert document["base_version"] == version
    assert document["author"] == "ama"
    assert document.get("allow_last", False) == ("--last" in shell.command)


@then(parsers.parse("each of {count:d} changes was based on version {version:d}"))
def _(shell, count, version):
    bases = [document["base_version"] for document in changes(shell)]
    assert bases == [version] * count


@then("nothing was sent")
def _(shell):
    assert shell.entry.seen == []


def changes(shell):
    prefix = "POST /v1/operator/data-centres/"
    return [body for call, body, _ in shell.entry.seen if call.startswith(prefix)]


def publications(shell):
    return [document for call, document, _ in shell.entry.seen if call == PUBLISH]
