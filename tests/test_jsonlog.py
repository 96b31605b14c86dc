"""Each log line is one JSON object; of libraries only errors are logged."""

import io
import json
import logging

from dotterelspread.jsonlog import log_change, log_fault, open_log
from dotterelspread.settings import DaemonSettings

from .builders_tools import EXAMPLES


def test_lines_carry_their_fields_and_are_written_once():
    settings = DaemonSettings.from_file(EXAMPLES / "entry.yaml")
    stream, other = io.StringIO(), io.StringIO()
    handler = logging.StreamHandler(other)
    logging.getLogger().addHandler(handler)
    try:
        with open_log(settings, stream):
            log_change("instance draining", name="w1", args=2)
            log_fault("log lost", OSError("gone"))
            logging.getLogger("uvicorn").warning("invalid request")
            logging.getLogger("uvicorn").error("limit %d", 3)
        log_change("after the end")
    finally:
        logging.getLogger().removeHandler(handler)
    draining, lost, failed = map(json.loads, stream.getvalue().splitlines())
    assert draining["message"] == "instance draining"
    assert (draining["name"], draining["args"]) == ("w1", 2)
    assert (draining["role"], draining["level"]) == ("entry", "INFO")
    assert (lost["message"], lost["error"]) == ("log lost", "gone")
    assert (failed["message"], failed["level"]) == ("limit 3", "ERROR")
    assert "draining" not in other.getvalue()
