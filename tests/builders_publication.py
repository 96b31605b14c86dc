"""States of publication with a parser that rejects some texts."""

from dotterelspread.publication import PublicationState


class UnreadableError(Exception):
    pass


def parse(text, name):
    if text.startswith("bad"):
        raise UnreadableError(name)
    return text


def make_state():
    return PublicationState(parse, UnreadableError)
