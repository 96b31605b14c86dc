from pytest_bdd import given, parsers, scenarios, then, when

from dotterelspread.heartbeatevents import VersionChanged
from tests.builders_membership import Network

scenarios("configuration.feature")


def agent_ids(network):
    return [id for id, p in network.by_id.items() if not p.liveness.is_entry]


@given(
    parsers.parse("{entries:d} entries and {agents:d} agents"), target_fixture="network"
)
def processes(entries, agents):
    network = Network()
    for number in range(entries):
        network.start(f"e{number}", "entry")
    for number in range(agents):
        network.start(f"a{number}")
    ids = agent_ids(network)
    for number in range(entries):
        network.watch(f"e{number}", ids)
    network.run(5)
    return network


@given("the log is down")
def log_is_down(network):
    network.is_log_up = False


@given(
    parsers.parse("{count:d} agents are partitioned from the rest"),
    target_fixture="partitioned_ids",
)
def partition(network, count):
    inside = agent_ids(network)[:count]
    outside = set(network.by_id).difference(inside)
    network.cuts = {(i, o) for i in inside for o in outside}
    network.cuts |= {(o, i) for i, o in network.cuts}
    return inside


@given(parsers.parse("every process has version {version:d}"))
def all_learn(network, version):
    for process in network.by_id.values():
        process.apply(VersionChanged(network.now_s, version))


@when(parsers.parse("one agent learns version {version:d}"))
def one_learns(network, version):
    process = network.by_id[agent_ids(network)[-1]]
    process.apply(VersionChanged(network.now_s, version))


@when(parsers.parse("one agent restarts with version {version:d}"))
def one_restarts(network, version):
    process = network.start(agent_ids(network)[-1], incarnation=2)
    process.apply(VersionChanged(network.now_s, version))


@when("the partition heals")
def heal(network):
    network.cuts.clear()


@when(parsers.parse("{seconds:d} seconds pass"))
def time_passes(network, seconds):
    network.run(seconds)


@then(parsers.parse("the partitioned agents have version {version:d}"))
def partitioned_have(network, partitioned_ids, version):
    for agent_id in partitioned_ids:
        assert network.by_id[agent_id].liveness.version == version


@then(parsers.parse("every process has version {version:d}"))
def all_have(network, version):
    for process in network.by_id.values():
        assert process.liveness.version == version
