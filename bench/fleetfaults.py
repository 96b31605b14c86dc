"""Fault injection for a simulated fleet; each function sets or clears one fault."""

__all__ = ["FAULTS"]


def set_frozen(fleet, agent, is_broken):
    if is_broken:
        fleet.freeze(agent)
    else:
        fleet.thaw(agent)


def set_store(fleet, agent, is_broken):
    fleet.log.is_up = not is_broken


def set_replies(fleet, agent, is_broken):
    agent.loses_replies = is_broken


def set_appends(fleet, agent, is_broken):
    agent.can_append = not is_broken


def set_log_link(fleet, agent, is_broken):
    agent.has_log_link = not is_broken


def set_worker_link(fleet, agent, is_broken):
    agent.has_worker_link = not is_broken


def set_all_links(fleet, agent, is_broken):
    agent.has_worker_link = agent.has_log_link = not is_broken


FAULTS = {
    "frozen": set_frozen,
    "store down": set_store,
    "replies lost": set_replies,
    "unable to append": set_appends,
    "cut from the log": set_log_link,
    "cut from its worker": set_worker_link,
    "cut from all": set_all_links,
}
