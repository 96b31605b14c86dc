"""Example files, and hypothesis strategies for configurations."""

from pathlib import Path

from hypothesis import strategies as st

from dotterelspread.configuration import (
    Configuration,
    KindConfig,
    LeaseConfig,
    ObjectiveConfig,
    SelectorConfig,
    ServiceConfig,
    TeamConfig,
    Urgency,
)
from dotterelspread.resources import Resources

EXAMPLES = Path(__file__).parent.parent / "examples"
MAX_KINDS = 4

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)
label_keys = st.from_regex(r"[a-z][a-z0-9._/-]{0,20}", fullmatch=True)
label_values = st.from_regex(r"[A-Za-z0-9._-]{0,20}", fullmatch=True)
labels = st.dictionaries(label_keys, label_values, max_size=3)
urgencies = st.sampled_from(Urgency)


def example_text(name):
    """Return the text of an example file."""
    return (EXAMPLES / name).read_text(encoding="utf-8")


def durations(low_ms, high_ms):
    return st.integers(low_ms, high_ms).map(lambda ms: ms / 1000)


def named(strategy, max_size=3):
    """Mappings from names to values drawn from ``strategy(name)``."""
    return st.lists(names, unique=True, max_size=max_size).flatmap(
        lambda keys: st.fixed_dictionaries({key: strategy(key) for key in keys})
    )


def kinds(name):
    return st.builds(
        KindConfig,
        name=st.just(name),
        urgency=urgencies,
        share=st.integers(0, 1000 // MAX_KINDS).map(lambda part: part / 1000),
        deadline_s=durations(10, 3_600_000),
        idempotent=st.booleans(),
        refusable=st.booleans(),
    )


def services(name):
    kinds_by_name = named(kinds, MAX_KINDS).filter(bool)
    return kinds_by_name.flatmap(
        lambda by_name: st.builds(
            ServiceConfig,
            name=st.just(name),
            kinds_by_name=st.just(by_name),
            default_kind=st.sampled_from(sorted(by_name)),
            labels=labels,
            target_p99_s=durations(1, 3_600_000),
        )
    )


def selectors(name):
    """Selectors that can't conflict: each requires an instance label of its own."""
    return st.builds(
        SelectorConfig,
        name=st.just(name),
        work=labels.filter(bool),
        instances=label_values.map(lambda value: {f"own/{name}": value}),
        urgency=st.none() | urgencies,
        refusable=st.booleans(),
    )


def teams(name):
    quota = st.builds(
        Resources,
        st.integers(0, 100_000_000),
        st.integers(0, 64 << 20),
        st.integers(0, 256),
    )
    weight = st.integers(1, 1_000_000).map(lambda part: part / 1000)
    return st.builds(TeamConfig, name=st.just(name), quota=quota, weight=weight)


configurations = st.builds(
    Configuration,
    services_by_name=named(services),
    selectors_by_name=named(selectors),
    teams_by_name=named(teams),
    instance_labels_by_id=st.dictionaries(
        names,
        labels.map(lambda given: {f"x/{key}"[:60]: v for key, v in given.items()}),
        max_size=3,
    ),
    objectives=st.integers(0, 1000).map(
        lambda part: ObjectiveConfig(part / 1000, 1 - part / 1000)
    ),
    leases=st.builds(
        LeaseConfig, durations(5000, 86_400_000), durations(5000, 86_400_000)
    ),
)
