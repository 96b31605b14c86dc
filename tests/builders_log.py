"""Builders of logs, records and log clients for tests."""

import random

from dotterelspread.logclient import LogClient
from dotterelspread.record import InstanceLeft

INCARNATION = 7


def a_record(number=0):
    return InstanceLeft(f"i{number}", number)


def a_client(log, incarnation=INCARNATION):
    return LogClient(log, incarnation, random.Random(incarnation))
