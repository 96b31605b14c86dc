"""Match the labels of work and of instances by the selectors of a configuration.

A selector applies to work that has all of its ``work`` labels. Work may run on an
instance that satisfies every selector which applies to it; work to which none applies
may run anywhere.
"""

from dataclasses import dataclass

from .configuration import Urgency

__all__ = [
    "Match",
    "applying_selectors",
    "effective_urgency",
    "instance_labels",
    "is_refusable",
    "match_work",
]


@dataclass(slots=True, frozen=True)
class Match:
    """Whether some work may run on an instance, how urgently, and why not."""

    allowed: bool
    urgency: Urgency
    refusable: bool = True
    #: Why the work may not run there, in words; empty when it may.
    explanation: str = ""


def instance_labels(announced, operator_labels):
    """Return all labels of an instance.

    Parameters
    ----------
    announced : InstanceAnnounced
        What the instance says of itself.
    operator_labels : dict of str to str
        Labels that operators put on it; they replace announced ones.
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


def applying_selectors(configuration, work):
    """Return the selectors that apply to work with the labels ``work``."""
    return [
        selector
        for selector in configuration.selectors_by_name.values()
        if selector.work.items() <= work.items()
    ]


def effective_urgency(selectors, asked):
    """Return the urgency of work: the highest that its selectors set, else ``asked``.

    Parameters
    ----------
    selectors : list of SelectorConfig
        Selectors that apply to the work.
    asked : Urgency
        Urgency that the work's submitter asks for.
    """
    given = [s.urgency for s in selectors if s.urgency is not None]
    return max(given, default=asked)


def is_refusable(selectors):
    """Tell whether work to which ``selectors`` apply may be refused under load."""
    return all(selector.refusable for selector in selectors)


def match_work(configuration, work, instance, asked=Urgency.NORMAL):
    """Return the `Match` of work and instance.

    Parameters
    ----------
    configuration : Configuration
    work : dict of str to str
        Labels of the work.
    instance : dict of str to str
        Labels of the instance, from `instance_labels`.
    asked : Urgency
        Urgency that the work's submitter asks for.
    """
    selectors = applying_selectors(configuration, work)
    urgency = effective_urgency(selectors, asked)
    refusable = is_refusable(selectors)
    for selector in selectors:
        for key, value in selector.instances.items():
            if instance.get(key) != value:
                found = f"{key}={instance[key]}" if key in instance else f"no {key}"
                explanation = (
                    f"selector {selector.name} wants {key}={value}; "
                    f"the instance has {found}"
                )
                return Match(False, urgency, refusable, explanation)
    return Match(True, urgency, refusable)
