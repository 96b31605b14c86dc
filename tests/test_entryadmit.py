import pytest

from dotterelspread.configuration import (
    Configuration,
    KindConfig,
    SelectorConfig,
    Urgency,
)
from dotterelspread.entryadmit import urgency_of
from dotterelspread.entryevents import RequestArrived

KIND = KindConfig("book", urgency=Urgency.HIGH)
VIP = SelectorConfig("vip", {"customer": "clinic"}, {}, urgency=Urgency.URGENT)
REPORTS = SelectorConfig("reports", {"kind": "report"}, {}, urgency=Urgency.LOW)
CONFIGURATION = Configuration(selectors_by_name={"vip": VIP, "reports": REPORTS})


@pytest.mark.parametrize(
    ("requested", "labels", "urgency"),
    [
        (None, {}, Urgency.HIGH),
        (Urgency.LOW, {}, Urgency.LOW),
        (Urgency.URGENT, {}, Urgency.HIGH),
        (Urgency.LOW, {"customer": "clinic"}, Urgency.URGENT),
        (None, {"customer": "farm"}, Urgency.HIGH),
        # A label called "kind" does not override the request's kind in selectors.
        (None, {"kind": "report"}, Urgency.HIGH),
    ],
)
def test_callers_may_lower_urgency_and_selectors_override_it(
    requested, labels, urgency
):
    event = RequestArrived(0.0, "r", "dispatch", urgency=requested, labels=labels)
    assert urgency_of(CONFIGURATION, KIND, event) is urgency
