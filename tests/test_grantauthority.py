"""Authority of a leader to grant leases, and the waivers of silent entries."""

import asyncio

from dotterelspread.jobs.earlierleaders import CONFIRMED_GRANT_S, EarlierLeaders
from dotterelspread.jobs.entryanswers import MAX_SILENCE_S
from dotterelspread.jobs.grantauthority import WAIVER_INTERVAL_S, GrantAuthority
from tests.virtualloop import run_virtually

ENTRY = "entry:1"
EARLIER = frozenset({"earlier:1"})


class FakeCommitter:
    """Records waivers; commits them when a test says so."""

    def __init__(self):
        self.unconfirmed_s = 2 * CONFIRMED_GRANT_S
        self.waivers = None
        self.commit_allowed = asyncio.Event()

    def update_waivers(self, addresses):
        self.waivers = addresses

    def update_earlier_leaders(self, earlier_leaders):
        """Do nothing."""

    async def wait_committed(self):
        await self.commit_allowed.wait()


def play(scenario, earlier_leaders=None, waived_addresses=frozenset()):
    """Run ``scenario(authority, committer)`` while silent entries are waived."""

    async def run():
        committer = FakeCommitter()
        authority = GrantAuthority(
            committer, earlier_leaders or EarlierLeaders(), waived_addresses
        )
        loop = asyncio.ensure_future(authority.waive_silent_entries())
        await scenario(authority, committer)
        loop.cancel()

    run_virtually(run())


def test_a_silent_entry_is_needed_until_its_waiver_is_committed():
    async def scenario(authority, committer):
        authority.entry_answers.expect(ENTRY)
        await asyncio.sleep(MAX_SILENCE_S + 2 * WAIVER_INTERVAL_S)
        assert committer.waivers == {ENTRY}
        assert not authority.may_grant
        committer.commit_allowed.set()
        await asyncio.sleep(0.1)
        assert authority.may_grant

    play(scenario)


def test_waivers_of_earlier_leaders_stay_until_these_have_ended():
    async def scenario(authority, committer):
        committer.commit_allowed.set()
        authority.entry_answers.expect(ENTRY)
        await asyncio.sleep(MAX_SILENCE_S + 2 * WAIVER_INTERVAL_S)
        assert committer.waivers == EARLIER | {ENTRY}
        assert authority.end_earlier_term("leader:1")
        await asyncio.sleep(2 * WAIVER_INTERVAL_S)
        assert committer.waivers == {ENTRY}

    play(scenario, EarlierLeaders(["leader:1"], need_answers=True), EARLIER)


def test_the_waiver_of_an_entry_that_answers_is_removed():
    async def scenario(authority, committer):
        committer.commit_allowed.set()
        authority.entry_answers.expect(ENTRY)
        await asyncio.sleep(MAX_SILENCE_S + 2 * WAIVER_INTERVAL_S)
        authority.entry_answers.observe(ENTRY, asyncio.get_running_loop().time())
        await asyncio.sleep(2 * WAIVER_INTERVAL_S)
        assert committer.waivers == frozenset()

    play(scenario)
