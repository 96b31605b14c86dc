"""An invalid configuration is refused; the follower goes on to the next one."""

import asyncio
import json
import random

import pytest

from dotterelspread.jobs.configurationfollower import ConfigurationFollower
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_STREAM,
    ConfigurationFormatError,
    read_configuration,
)
from tests.builders_invalid import DEEP_JSON
from tests.builders_platform import CONFIGURATION, ROUTE
from tests.builders_store import VirtualStore
from tests.virtualloop import run_virtually


def with_route(**changes):
    return json.dumps(CONFIGURATION | {"Routes": [ROUTE | changes]}).encode()


def with_version(version):
    return json.dumps(CONFIGURATION | {"Version": version}).encode()


INVALID = {
    "latency not a number": with_route(TargetLatencyMs="NaN"),
    "infinite latency": with_route(TargetLatencyMs="inf"),
    "slack not a number": with_route(SlackFactor="nan"),
    "infinite slack": with_route(SlackFactor="Infinity"),
    "huge attempts": with_route(MaxAttempts=10**400),
    "huge priority": with_route(Priority=2**64),
    "huge version": with_version(10**400),
    "version of 64 bits": with_version(2**64),
    "negative version": with_version(-1),
    "huge limit": json.dumps(
        CONFIGURATION | {"Limits": {"HeaderTimeoutMs": 10**400}}
    ).encode(),
    "deep": b'{"Version":9,"Other":' + DEEP_JSON + b"}",
    "invalid UTF-8": b'{"Version":9,"Routes":[{"Name":"\xff"}]}',
    "lone surrogate": b'{"Version":9,"Routes":[{"Name":"\\ud800"}]}',
    "another type": b"[]",
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_configuration_is_refused(name):
    with pytest.raises(ConfigurationFormatError):
        read_configuration(INVALID[name])


@pytest.mark.parametrize("is_snapshot", [True, False])
def test_the_configuration_after_invalid_ones_comes_into_force(is_snapshot):
    async def run():
        store = VirtualStore(random.Random(1))
        records = store.stream(CONFIGURATION_STREAM).records
        follower = ConfigurationFollower(
            store.journal("a"),
            CONFIGURATION_STREAM,
            CONFIGURATION_KEY,
            read_configuration,
            ConfigurationFormatError,
            lambda configuration: None,
        )
        loop = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0 if is_snapshot else 1)
        for value in INVALID.values():
            records.append(KeyedRecord(CONFIGURATION_KEY, value))
            records.append(KeyedRecord("wave/1", value))
        records.append(KeyedRecord(CONFIGURATION_KEY, with_version(10)))
        await asyncio.sleep(3)
        assert not loop.done()
        assert follower.configuration.version == 10
        loop.cancel()

    run_virtually(run())
