"""Print pytest options that deselect the tests listed in KNOWN-RED.txt."""

import sys
from pathlib import Path

PREFIX = "test:"


def listed_tests(text):
    lines = (line.strip() for line in text.splitlines())
    return [line[len(PREFIX) :].strip() for line in lines if line.startswith(PREFIX)]


def main(path):
    for test in listed_tests(Path(path).read_text()):
        print(f"known red, passed over: {test}", file=sys.stderr)
        print(f"--deselect={test}")


if __name__ == "__main__":
    main(sys.argv[1])
