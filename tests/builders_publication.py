"""Publication states whose parser rejects texts that start with ``bad``."""

from dotterelspread.publication import PublicationState


class UnreadableError(Exception):
    pass


def parse(text, name):
    if text.startswith("bad"):
        raise UnreadableError(name)
    return text


def make_state():
    return PublicationState(parse, UnreadableError)
