"""Match work to instances by the label selectors of a configuration.

A selector applies to work that has all of its ``work`` labels. Work may run only on
instances that satisfy every selector that applies to it; work to which no selector
applies may run anywhere.
"""

from dataclasses import dataclass

from .configuration import Urgency

__all__ = [
    "Match",
    "matching_selectors",
    "effective_urgency",
    "instance_labels",
    "is_refusable",
    "match_work",
]


@dataclass(slots=True, frozen=True)
class Match:
    """Result of matching work against an instance."""

    allowed: bool
    urgency: Urgency
    refusable: bool = True
    #: Why the work may not run on the instance; empty when it may.
    explanation: str = ""


def instance_labels(announced, operator_labels):
    """Return all labels of an instance.

    Parameters
    ----------
    announced : InstanceAnnounced
        The instance's own announcement.
    operator_labels : dict of str to str
        Labels that operators assign to the instance. They override announced labels,
        but not the ones that the system sets.
    """
    labels = {**announced.labels, **operator_labels}
    labels["data-centre"] = announced.data_centre
    labels["region"] = announced.region
    labels["role"] = announced.role
    if announced.rack:
        labels["rack"] = announced.rack
    if len(announced.services) == 1:
        labels["service"] = announced.services[0]
    return labels


def matching_selectors(configuration, work):
    """Return the selectors that apply to work with the labels ``work``."""
    return [
        selector
        for selector in configuration.selectors_by_name.values()
        if selector.work.items() <= work.items()
    ]


def effective_urgency(selectors, requested):
    """Return the highest urgency that selectors set for work, or the requested one.

    Parameters
    ----------
    selectors : list of SelectorConfig
        Selectors that apply to the work.
    asked : Urgency
        Urgency that the submitter of the work requests.
    """
    urgencies = [s.urgency for s in selectors if s.urgency is not None]
    return max(urgencies, default=requested)


def is_refusable(selectors):
    """Tell whether work to which ``selectors`` apply may be refused under overload."""
    return all(selector.refusable for selector in selectors)


def match_work(configuration, work, instance, requested=Urgency.NORMAL):
    """Return the `Match` of work and an instance.

    Parameters
    ----------
    configuration : Configuration
    work : dict of str to str
        Labels of the work.
    instance : dict of str to str
        Labels of the instance, from `instance_labels`.
    asked : Urgency
        Urgency that the submitter of the work requests.
    """
    selectors = matching_selectors(configuration, work)
    urgency = effective_urgency(selectors, requested)
    refusable = is_refusable(selectors)
    for selector in selectors:
        for key, value in selector.instances.items():
            if instance.get(key) != value:
                found = f"{key}={instance[key]}" if key in instance else f"no {key}"
                explanation = (
                    f"selector {selector.name} requires {key}={value}; "
                    f"the instance has {found}"
                )
                return Match(False, urgency, refusable, explanation)
    return Match(True, urgency, refusable)
