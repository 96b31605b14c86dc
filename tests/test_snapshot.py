from dotterelspread.record import ConfigurationPublished
from tests.builders_publication import make_state
from tests.builders_site import RETENTION_S, Site


def a_site(count=2):
    site = Site(make_state, count)
    site.followers[0].append(ConfigurationPublished(-1, "o", "good"))
    site.advance(1)
    return site


def test_a_start_long_after_the_first_records_expired_finds_a_snapshot():
    site = a_site()
    site.advance(int(RETENTION_S * 1.5))
    assert site.log.first > 0
    site.restart(1)
    site.advance(5)
    assert site.followers[1].replica.is_ready
    assert site.followers[1].replica.state.number == 0


def test_survivors_of_an_outage_longer_than_retention_append_a_snapshot():
    site = a_site()
    site.is_out = True
    site.advance(int(RETENTION_S * 2))
    site.is_out = False
    site.restart(1)
    site.advance(10)
    assert site.followers[1].replica.is_ready
    site.check_complete()


def test_a_start_without_a_snapshot_stays_incomplete_until_one_appears():
    site = a_site()
    for follower in site.followers:
        follower.is_cut = True
    site.advance(int(RETENTION_S * 2))
    site.restart(1)
    site.advance(int(RETENTION_S))
    assert not site.followers[1].replica.is_ready
    assert site.followers[1].replica.to_snapshot() is None
    site.followers[0].is_cut = False
    site.advance(10)
    assert site.followers[1].replica.is_ready


def test_a_start_while_the_log_is_down_restores_the_state_of_a_peer():
    site = a_site()
    site.is_out = True
    site.restart(1)
    site.followers[1].ask_state(site.followers[0])
    assert site.followers[1].replica.state.number == 0
    site.is_out = False
    site.advance(2)
    assert site.followers[1].replica.is_ready
    site.check_complete()


def test_few_of_many_members_append_a_snapshot_that_is_due():
    site = a_site(40)
    site.advance(6)
    snapshots = len(site.log.written) - 1
    assert 1 <= snapshots <= 10
