"""Scores the agreed deployments with the users' bench and compares with a table.

``make fleet-check BENCH=PROGRAM SITES=DIR`` plays the light days of each site; without
both it says so and does nothing. The table ``bench/regression.yaml`` has the sites and
the worth of their days. Single days differ between runs of the same code, so the mean
of a site decides.
"""

import argparse
import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

import yaml

__all__ = ["Site", "SiteResult", "compare", "main", "read_digest", "read_table"]

TABLE_PATH = Path(__file__).with_name("regression.yaml")
#: Fall of a site's mean worth from which the site is played again.
MAX_FALL = 0.03
EXIT_OK = 0
EXIT_FALLEN = 1

#: A row of a day: name, processes, score and worth, with or without a mark.
_DAY_ROW = re.compile(r"^(\S+) +\d+/\d+ +\S+ +(-?\d+\.\d+) ", re.MULTILINE)
_GATE_FAILURE = re.compile(r"^GATE failed: (.*)$", re.MULTILINE)


@dataclass(slots=True, frozen=True)
class Site:
    """A deployment to play, with the committed worth of its days."""

    path: str
    worth_by_day: dict[str, float]


@dataclass(slots=True, frozen=True)
class SiteResult:
    """What the bench printed of a site."""

    worth_by_day: dict[str, float]
    #: Why the gate failed; empty if it passed.
    gate_failure: str


def read_table(text):
    """Return the sites of a table in YAML."""
    rows = yaml.safe_load(text)["sites"]
    return [Site(row["path"], dict(row["worth_by_day"])) for row in rows]


def read_digest(text):
    """Return the `SiteResult` in the output of the bench."""
    worth_by_day = {name: float(worth) for name, worth in _DAY_ROW.findall(text)}
    failure = _GATE_FAILURE.search(text)
    return SiteResult(worth_by_day, failure[1] if failure else "")


def compare(site, result):
    """Return the mean worth of the days in both, as committed and as played.

    Raises
    ------
    ValueError
        When no day of the table was played.
    """
    days = [day for day in site.worth_by_day if day in result.worth_by_day]
    if not days:
        raise ValueError(f"{site.path}: no day of the table was played")
    committed = mean(site.worth_by_day[day] for day in days)
    return committed, mean(result.worth_by_day[day] for day in days)


def _play(program, site_path):
    command = [program, "score", site_path, "--quick", "--why", "regression run"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout + done.stderr


def _check(program, folder, site):
    """Play a site and print a line on it; return whether it holds."""
    output = _play(program, folder / site.path)
    result = read_digest(output)
    try:
        committed, played = compare(site, result)
    except ValueError as error:
        print(f"{error}; the bench printed:\n{output[-1000:]}", flush=True)
        return False
    has_fallen = played < committed - MAX_FALL
    verdict = "holds"
    if result.gate_failure:
        verdict = f"GATE FAILED: {result.gate_failure}"
    elif has_fallen:
        verdict = "seems to fall: play it twice more"
    print(f"{site.path}: {committed:.3f}, now {played:.3f}, {verdict}", flush=True)
    return not (has_fallen or result.gate_failure)


def main(args):
    """Play the sites of the table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=Path, help="program of the users' bench")
    parser.add_argument("--sites", type=Path, help="folder of the site files")
    parser.add_argument("--only", default="", help="only sites whose path has this")
    options = parser.parse_args(args)
    if options.bench is None or options.sites is None:
        print("fleet-check skipped: BENCH and SITES are not both given")
        return EXIT_OK
    table = read_table(TABLE_PATH.read_text())
    sites = [site for site in table if options.only in site.path]
    results = [_check(options.bench, options.sites, site) for site in sites]
    return EXIT_OK if all(results) else EXIT_FALLEN


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
