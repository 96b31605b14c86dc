"""The example settings are valid, and every fault is listed with its path."""

from pathlib import Path

import pytest
import yaml

from dotterelspread.quantities import Address
from dotterelspread.settings import DaemonSettings, Role, SettingsError

EXAMPLES = Path(__file__).parent.parent / "examples"


def agent_document(**changes):
    document = yaml.safe_load((EXAMPLES / "agent.yaml").read_text())
    document.update(changes)
    return yaml.safe_dump(document)


def faults_by_path(text):
    with pytest.raises(SettingsError) as caught:
        DaemonSettings.from_text(text, "agent.yaml")
    assert all(fault.file_name == "agent.yaml" for fault in caught.value.faults)
    return {fault.path: fault for fault in caught.value.faults}


def test_examples_are_valid():
    entry = DaemonSettings.from_file(EXAMPLES / "entry.yaml")
    agent = DaemonSettings.from_file(EXAMPLES / "agent.yaml")
    assert (entry.role, entry.agent) == (Role.ENTRY, None)
    assert entry.entry.cells == ("cell.0", "cell.1")
    assert entry.limits.max_body == 1 << 20
    assert agent.peer_address == Address("10.1.0.24", 7001)
    assert agent.agent.capacity.millicores == 32_000
    assert agent.agent.capacity.memory_mb == 125 * 10**9 // (1 << 20)


def test_all_faults_are_listed_at_once():
    agent = {"service": "dispatch", "slots": True, "slotz": 8, "labels": {"a b": "x"}}
    text = agent_document(agent=agent, log_url="http://log.example", drain_timeout=5)
    faults = faults_by_path(text)
    assert set(faults) == {
        "agent.backend_url",
        "agent.capacity",
        "agent.cell",
        "agent.connections",
        "agent.labels.'a b'",
        "agent.slots",
        "agent.slotz",
        "agent.worker_url",
        "drain_timeout",
        "log_url",
    }
    assert faults["agent.slots"].found == "True"
    assert "from 1 to 10000" in faults["agent.slots"].allowed
    assert "250ms" in faults["drain_timeout"].allowed


def test_a_section_of_the_other_role_is_rejected():
    assert "entry" in faults_by_path(agent_document(entry={"cells": ["cell.0"]}))


def test_unreadable_file_is_a_settings_error(tmp_path):
    (tmp_path / "bytes.yaml").write_bytes(b"\xff\xfe\x00")
    for name in ("missing.yaml", "bytes.yaml"):
        with pytest.raises(SettingsError, match=name):
            DaemonSettings.from_file(tmp_path / name)


def test_memory_that_holds_no_request_of_the_greatest_size_is_rejected():
    limits = {"max_body": "64MiB", "memory": "200MB"}
    faults = faults_by_path(agent_document(limits=limits))
    assert set(faults) == {"limits.memory"}
    assert "4 times max_body" in faults["limits.memory"].allowed
    # The default suffices for every size that was valid before the setting.
    limits.pop("memory")
    DaemonSettings.from_text(agent_document(limits=limits), "agent.yaml")
