"""Valid configurations round-trip; for invalid ones, every fault is listed."""

import pytest
from hypothesis import given, settings

from dotterelspread.configreader import (
    ConfigurationError,
    read_configuration,
    write_configuration,
)

from .builders_tools import configurations

FAULTY = """
services:
  d: {default_kind: z, kinds: {a: {share: .7}, b: {share: 0.6, urgency: hi}}}
  e: {default_kind: a}
selectors:
  s: {work: {a: b}, instances: {r: x}}
  t: {work: {a: b, c: d}, instances: {r: y}}
  u: {work: {a: b}}
  v: {instances: {a: b}}
teams: {t: {weight: 0, quota: {cores: -1, memory: 5}}, v: {}}
instances: {i: {labels: {rack: r1}}}
objectives: {latency_weight: 0.9}
leases: {batch: 1s}
nonsense: 1
"""
FAULTY_PATHS = {
    "services.d.default_kind",
    "services.d.kinds",
    "services.d.kinds.b.urgency",
    "services.e.kinds",
    "selectors.t.instances.r",
    "selectors.u.instances",
    "selectors.v.work",
    "teams.t.quota.cores",
    "teams.t.quota.memory",
    "teams.t.weight",
    "teams.v.quota",
    "instances.i.labels.rack",
    "objectives",
    "leases.batch",
    "nonsense",
}


@settings(max_examples=60, derandomize=True, deadline=None)
@given(configuration=configurations)
def test_a_valid_configuration_round_trips(configuration):
    text = write_configuration(configuration)
    assert read_configuration(text, "f.yaml") == configuration


def test_every_fault_is_listed_with_the_allowed_values():
    with pytest.raises(ConfigurationError) as caught:
        read_configuration(FAULTY, "f.yaml")
    assert {fault.path for fault in caught.value.faults} == FAULTY_PATHS
    for line in str(caught.value).splitlines():
        assert line.startswith("f.yaml: ") and "; allowed: " in line
