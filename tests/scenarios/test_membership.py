from pytest_bdd import given, parsers, scenarios, then, when

from dotterelspread.heartbeatevents import DrainStarted, MemberForgotten, PeerStatus
from tests.builders_membership import Network

scenarios("membership.feature")

ENTRY_IDS = ("e1", "e2", "e3")
#: Seconds after which every member has received at least one heartbeat.
SETTLING_S = 20


@given("entries e1, e2 and e3", target_fixture="network")
def entries():
    network = Network()
    for entry_id in ENTRY_IDS:
        network.start(entry_id, "entry")
    return network


@given("agents a1, a2 and a3, which every entry monitors")
def agents(network):
    start_agents(network, ("a1", "a2", "a3"))


@given(parsers.parse("{count:d} more agents, which every entry monitors"))
def more_agents(network, count):
    start_agents(network, [f"b{number}" for number in range(count)])


def start_agents(network, agent_ids):
    for agent_id in agent_ids:
        network.start(agent_id)
    all_ids = set(network.by_id).difference(ENTRY_IDS)
    for entry_id in ENTRY_IDS:
        network.watch(entry_id, all_ids)
    network.run(SETTLING_S)


@given("the log is down")
def log_down(network):
    network.is_log_up = False


@given("the balancer is down")
def balancer_down(network):
    network.is_balancer_up = False


@given(parsers.parse("the link between {one} and {other} is cut"))
def cut_both(network, one, other):
    network.cuts |= {(one, other), (other, one)}


@given(parsers.parse("messages from {one} to {other} are lost"))
def cut_one_way(network, one, other):
    network.cuts.add((one, other))


@when(parsers.parse("agent {agent_id} starts"))
def start(network, agent_id):
    network.start(agent_id)


@when(parsers.parse("{agent_id} drains"))
def drain(network, agent_id):
    network.by_id[agent_id].apply(DrainStarted(network.now_s))


@when(parsers.parse("{agent_id} freezes"))
def freeze(network, agent_id):
    network.by_id[agent_id].is_frozen = True


@when(parsers.parse("{agent_id} resumes"))
def wake(network, agent_id):
    network.by_id[agent_id].is_frozen = False


@when(parsers.parse("{agent_id} returns with incarnation {incarnation:d}"))
def restart(network, agent_id, incarnation):
    network.start(agent_id, incarnation=incarnation)


@when(parsers.parse("the log repeats the announcement of {agent_id}"))
def repeat(network, agent_id):
    own = network.by_id[agent_id].liveness.own
    network.log(type(own)(own.announced))


@when(parsers.parse("{agent_id} dies and the stream no longer holds it"))
def die(network, agent_id):
    member = network.by_id.pop(agent_id).liveness.own
    for process in network.by_id.values():
        process.apply(MemberForgotten(network.now_s, member))


@when(parsers.parse("{seconds:d} seconds pass"))
def passes(network, seconds):
    network.run(seconds)


@then(parsers.re(r"every entry knows (?P<agent_id>a\d)"))
def known(network, agent_id):
    assert all(network.by_id[entry_id].known(agent_id) for entry_id in ENTRY_IDS)


@then(parsers.parse("no entry knows {agent_id}"))
def unknown(network, agent_id):
    assert not any(network.by_id[entry_id].known(agent_id) for entry_id in ENTRY_IDS)


@then(
    parsers.re(
        r"every entry knows that (?P<agent_id>\w+) is (?P<negation>not )?draining"
    )
)
def drains(network, agent_id, negation):
    for entry_id in ENTRY_IDS:
        member = network.by_id[entry_id].known(agent_id)
        assert member.is_draining is (negation is None)


@then(parsers.parse("every entry knows incarnation {incarnation:d} of {agent_id}"))
def knows_incarnation(network, incarnation, agent_id):
    for entry_id in ENTRY_IDS:
        assert network.by_id[entry_id].known(agent_id).incarnation == incarnation


@then(parsers.parse("every entry sees {agent_id} as {status}"))
def all_see(network, agent_id, status):
    for entry_id in ENTRY_IDS:
        assert network.by_id[entry_id].status(agent_id) is PeerStatus(status)


@then(parsers.re(r"(?P<entry_id>e\d) sees (?P<agent_id>\w+) as (?P<status>\w+)"))
def one_sees(network, entry_id, agent_id, status):
    assert network.by_id[entry_id].status(agent_id) is PeerStatus(status)
