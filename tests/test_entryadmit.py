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
    ("asked", "labels", "urgency"),
    [
        (None, {}, Urgency.HIGH),
        (Urgency.LOW, {}, Urgency.LOW),
        (Urgency.URGENT, {}, Urgency.HIGH),
        (Urgency.LOW, {"customer": "clinic"}, Urgency.URGENT),
        (None, {"customer": "farm"}, Urgency.HIGH),
        # A caller's label can't pretend to another kind.
        (None, {"kind": "report"}, Urgency.HIGH),
    ],
)
def test_callers_lower_urgency_and_selectors_set_it(asked, labels, urgency):
    event = RequestArrived(0.0, "r", "dispatch", urgency=asked, labels=labels)
    assert urgency_of(CONFIGURATION, KIND, event) is urgency
