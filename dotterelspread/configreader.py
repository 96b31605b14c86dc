"""Parse, validate and serialise configurations in YAML.

A configuration is validated as a whole before any of it is used;
docs/OPERATIONS.md lists its fields.
"""

import yaml

from .configuration import (
    Configuration,
    KindConfig,
    LeaseConfig,
    ObjectiveConfig,
    SelectorConfig,
    ServiceConfig,
    TeamConfig,
    Urgency,
)
from .document import FaultsError
from .options import open_options

__all__ = ["ConfigurationError", "read_configuration", "write_configuration"]

MAX_DEADLINE_S = 3600.0
MIN_LEASE_S = 5.0
MAX_LEASE_S = 86_400.0
MAX_WEIGHT = 1000.0
#: Tolerance for rounding errors in sums of shares and weights.
SHARE_TOLERANCE = 1e-9
#: Labels that the system sets on instances. Selectors can use them, but operators
#: can't assign them.
SYSTEM_LABELS = ("data-centre", "region", "rack", "role", "service")
URGENCY_NAMES = tuple(urgency.name.lower() for urgency in Urgency)


class ConfigurationError(FaultsError):
    """The text of a configuration is invalid."""


def read_configuration(text, file_name):
    """Return the `Configuration` in a YAML text.

    Parameters
    ----------
    text : str
        The configuration.
    file_name : str
        Name of its file or stream, for error messages.

    Raises
    ------
    ConfigurationError
        If the text is invalid; lists every fault.
    """
    with open_options(text, file_name, ConfigurationError) as options:
        configuration = Configuration(
            services_by_name=_read_each(options, "services", _read_service),
            selectors_by_name=_read_each(options, "selectors", _read_selector),
            teams_by_name=_read_each(options, "teams", _read_team),
            instance_labels_by_id=_read_instance_labels(options),
            objectives=_read_objectives(options.section("objectives")),
            leases=_read_leases(options.section("leases")),
        )
        _check_selectors(configuration, options)
        return configuration


def write_configuration(configuration):
    """Return YAML text from which `read_configuration` gives an equal configuration."""
    document = {
        "services": _write_each(configuration.services_by_name, _write_service),
        "selectors": _write_each(configuration.selectors_by_name, _write_selector),
        "teams": _write_each(configuration.teams_by_name, _write_team),
        "instances": {
            instance_id: {"labels": labels}
            for instance_id, labels in configuration.instance_labels_by_id.items()
        },
        "objectives": {
            "latency_weight": configuration.objectives.latency_weight,
            "batch_weight": configuration.objectives.batch_weight,
        },
        "leases": {
            "batch": f"{configuration.leases.batch_s}s",
            "service": f"{configuration.leases.service_s}s",
        },
    }
    return yaml.dump(document, Dumper=yaml.CSafeDumper, sort_keys=False)


def _read_each(options, field, read):
    sections = options.sections(field, {})
    return {name: read(name, section) for name, section in sections.items()}


def _read_service(name, options):
    kinds_by_name = _read_each(options, "kinds", _read_kind)
    default_kind = options.name("default_kind")
    if not kinds_by_name:
        options.fault("kinds", "none", "at least one kind")
    elif default_kind not in kinds_by_name:
        kinds = ", ".join(kinds_by_name)
        options.fault("default_kind", default_kind, f"one of {kinds}")
    share = sum(kind.share for kind in kinds_by_name.values())
    if share > 1 + SHARE_TOLERANCE:
        options.fault(
            "kinds", f"a total share of {share:g}", "a total share of up to 1"
        )
    return ServiceConfig(
        name=name,
        kinds_by_name=kinds_by_name,
        default_kind=default_kind,
        labels=options.labels("labels"),
        target_p99_s=options.duration("target_p99", 0.001, MAX_DEADLINE_S, 0.25),
    )


def _read_kind(name, options):
    return KindConfig(
        name=name,
        urgency=_read_urgency(options, "normal"),
        share=options.number("share", 0, 1, 0),
        deadline_s=options.duration("deadline", 0.01, MAX_DEADLINE_S, 10.0),
        idempotent=options.boolean("idempotent", True),
        refusable=options.boolean("refusable", True),
    )


def _read_urgency(options, default):
    name = options.choice("urgency", URGENCY_NAMES, default)
    return None if name is None else Urgency[name.upper()]


def _read_selector(name, options):
    selector = SelectorConfig(
        name=name,
        work=options.labels("work"),
        instances=options.labels("instances"),
        urgency=_read_urgency(options, None),
        refusable=options.boolean("refusable", True),
    )
    if not selector.work:
        options.fault("work", "no label", "at least one label that work must have")
    if not selector.instances and selector.urgency is None and selector.refusable:
        allowed = "instance labels, an urgency, or refusable: false"
        options.fault("instances", "a selector that has no effect", allowed)
    return selector


def _read_team(name, options):
    return TeamConfig(
        name=name,
        quota=options.resources("quota"),
        weight=options.number("weight", 0.001, MAX_WEIGHT, 1),
    )


def _read_instance_labels(options):
    labels_by_id = {}
    for instance_id, section in options.sections("instances", {}).items():
        labels = section.labels("labels")
        labels_by_id[instance_id] = labels
        for key in labels:
            if key in SYSTEM_LABELS:
                section.fault(
                    f"labels.{key}", key, "a label that the system does not set"
                )
    return labels_by_id


def _read_objectives(options):
    default = ObjectiveConfig()
    objectives = ObjectiveConfig(
        latency_weight=options.number("latency_weight", 0, 1, default.latency_weight),
        batch_weight=options.number("batch_weight", 0, 1, default.batch_weight),
    )
    total = objectives.latency_weight + objectives.batch_weight
    if abs(total - 1) > SHARE_TOLERANCE:
        options.fault("", f"a total weight of {total:g}", "a total weight of 1")
    return objectives


def _read_leases(options):
    default = LeaseConfig()

    def lease(name, default_s):
        return options.duration(name, MIN_LEASE_S, MAX_LEASE_S, default_s)

    return LeaseConfig(
        batch_s=lease("batch", default.batch_s),
        service_s=lease("service", default.service_s),
    )


def _check_selectors(configuration, options):
    """Reject pairs of selectors whose instance labels exclude each other."""
    checked = []
    for selector in configuration.selectors_by_name.values():
        for other in checked:
            key = _find_conflict(selector, other)
            if key is not None:
                options.fault(
                    f"selectors.{selector.name}.instances.{key}",
                    f"{selector.instances[key]!r}, but selector {other.name} requires "
                    f"{other.instances[key]!r} for the same work",
                    "the same value in selectors that apply to the same work",
                )
        checked.append(selector)


def _find_conflict(selector, other):
    """Return an instance label for which overlapping selectors require two values.

    Selectors overlap when all work that matches one of them matches the other too.
    Returns None when there is no such label.
    """
    if not (
        selector.work.items() <= other.work.items()
        or other.work.items() <= selector.work.items()
    ):
        return None
    for key in selector.instances.keys() & other.instances.keys():
        if selector.instances[key] != other.instances[key]:
            return key
    return None


def _write_each(values_by_name, write):
    return {name: write(value) for name, value in values_by_name.items()}


def _write_service(service):
    return {
        "default_kind": service.default_kind,
        "target_p99": f"{service.target_p99_s}s",
        "labels": service.labels,
        "kinds": _write_each(service.kinds_by_name, _write_kind),
    }


def _write_kind(kind):
    return {
        "urgency": kind.urgency.name.lower(),
        "share": kind.share,
        "deadline": f"{kind.deadline_s}s",
        "idempotent": kind.idempotent,
        "refusable": kind.refusable,
    }


def _write_selector(selector):
    document = {
        "work": selector.work,
        "instances": selector.instances,
        "refusable": selector.refusable,
    }
    if selector.urgency is not None:
        document["urgency"] = selector.urgency.name.lower()
    return document


def _write_team(team):
    quota = team.quota
    return {
        "weight": team.weight,
        "quota": {
            "cores": quota.millicores / 1000,
            "memory": f"{quota.memory_mb}MiB",
            "accelerators": quota.accelerators,
        },
    }
