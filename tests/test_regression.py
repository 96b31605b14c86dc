"""The regression run reads what the bench prints and compares it with the table."""

import pytest

from bench.regression import (
    TABLE_PATH,
    Site,
    compare,
    main,
    read_digest,
    read_table,
)

DIGEST = """\
6 days, 6 at a time
scale-1 is played, after 60 s
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 14/0   1.00  0.831  0.870   0.000  0.022  worst windows 0.57
trouble-1               14/0   1.00  0.542  0.739   0.024  0.089  worst windows 0.23
fresh-1a2b              14/0   0.20 -0.042  0.200   0.024  0.089  worst class 0.02
"""


def test_the_worth_of_each_day_is_read():
    result = read_digest(DIGEST + "GATE passed\n")
    assert result.worth_by_day == {
        "quiet-1": 0.831,
        "trouble-1": 0.542,
        "fresh-1a2b": -0.042,
    }
    assert result.gate_failure == ""


def test_a_failed_gate_is_read_with_its_reason():
    result = read_digest(DIGEST + "GATE failed: fresh-1a2b: LOST\n")
    assert result.gate_failure == "fresh-1a2b: LOST"


def test_only_days_of_both_are_compared():
    site = Site("a.toml", {"quiet-1": 0.8, "trouble-1": 0.6, "scale-1": 0.9})
    committed, played = compare(site, read_digest(DIGEST))
    assert committed == pytest.approx(0.7)
    assert played == pytest.approx((0.831 + 0.542) / 2)


def test_a_site_without_a_played_day_is_named():
    with pytest.raises(ValueError, match=r"a\.toml"):
        compare(Site("a.toml", {"quiet-1": 0.8}), read_digest("no days\n"))


def test_the_committed_table_is_valid():
    sites = read_table(TABLE_PATH.read_text())
    assert len(sites) == 7
    for site in sites:
        assert len(site.worth_by_day) == 6
        assert all(-1 < worth < 1 for worth in site.worth_by_day.values())


def test_without_a_bench_the_run_says_that_it_is_skipped(capsys):
    assert main([]) == 0
    assert "skipped" in capsys.readouterr().out
