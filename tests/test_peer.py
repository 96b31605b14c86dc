import asyncio
import contextlib
import socket

import pytest

from dotterelspread import peerserver
from dotterelspread.bytebudget import ByteShare
from dotterelspread.frame import encode_call
from dotterelspread.gen.peer.ttypes import (
    Answer,
    AnswerQuery,
    DrainRequest,
    Result,
    RunRequest,
)
from dotterelspread.peer import (
    PeerError,
    PeerFailedError,
    PeerLostError,
    PeerPool,
    PeerQuota,
    PeerTimeoutError,
    PeerUnsentError,
    serve_peers,
)


class FakeAgent:
    def __init__(self):
        self.release = asyncio.Event()

    async def run(self, request):
        if request.request_id == "late":
            await self.release.wait()
        if request.request_id == "fails":
            raise ValueError("no such service")
        return Answer(result=Result.COMPLETED, body=request.body)

    async def answer(self, query):
        self.release.set()
        return Answer(result=Result.PENDING)


def run_with_agent(scenario):
    async def main():
        agent = FakeAgent()
        handlers = {"run": agent.run, "answer": agent.answer}
        async with serve_peers("127.0.0.1:0", handlers) as server, PeerPool.open() as p:
            port = server.sockets[0].getsockname()[1]
            await asyncio.wait_for(scenario(p, f"127.0.0.1:{port}"), 20)

    asyncio.run(main())


def test_answers_out_of_order_reach_their_own_callers():
    async def scenario(pool, address):
        late = RunRequest(request_id="late", body=b"1" * 300_000)
        first = asyncio.ensure_future(pool.call(address, "run", late, 10))
        soon = RunRequest(request_id="soon", body=b"2")
        assert (await pool.call(address, "run", soon, 10)).body == b"2"
        assert not first.done()
        await pool.call(address, "answer", AnswerQuery(request_id="late"), 10)
        assert (await first).body == b"1" * 300_000

    run_with_agent(scenario)


def test_each_kind_of_failure_has_its_own_error():
    async def scenario(pool, address):
        with pytest.raises(PeerFailedError, match="no such service"):
            await pool.call(address, "run", RunRequest(request_id="fails"), 10)
        with pytest.raises(PeerFailedError, match="not served"):
            await pool.call(address, "drain", DrainRequest("x"), 10)
        with pytest.raises(PeerUnsentError):
            await pool.call("127.0.0.1:1", "run", RunRequest(request_id="a"), 10)
        late = RunRequest(request_id="late")
        with pytest.raises(PeerTimeoutError):
            await pool.call(address, "run", late, 0.01)
        waiting = asyncio.ensure_future(pool.call(address, "run", late, 10))
        await asyncio.sleep(0)
        pool.replace_connection(address, abort=True)
        with pytest.raises(PeerLostError):
            await waiting
        soon = RunRequest(request_id="soon", body=b"3")
        assert (await pool.call(address, "run", soon, 10)).body == b"3"

    run_with_agent(scenario)


def test_an_address_in_use_is_named():
    async def main():
        async with serve_peers("127.0.0.1:0", {}) as server:
            port = server.sockets[0].getsockname()[1]
            with pytest.raises(PeerError, match=f"cannot listen on 127.0.0.1:{port}"):
                async with serve_peers(f"127.0.0.1:{port}", {}):
                    pass

    asyncio.run(main())


def test_concurrent_calls_to_an_unresponsive_peer_time_out_together():
    async def main():
        # A listener whose backlog is full does not answer the opening packet.
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            port = listener.getsockname()[1]
            loop = asyncio.get_running_loop()
            with contextlib.ExitStack() as stack:
                for _ in range(4):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(("127.0.0.1", port))
                await asyncio.sleep(0.05)
                started_s = loop.time()
                async with PeerPool.open() as pool:
                    query = AnswerQuery(request_id="x")
                    calls = [
                        pool.call(f"127.0.0.1:{port}", "answer", query, 0.3)
                        for _ in range(6)
                    ]
                    results = await asyncio.gather(*calls, return_exceptions=True)
                assert all(isinstance(r, PeerUnsentError) for r in results), results
                assert loop.time() - started_s < 1.0

    asyncio.run(main())


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1:70000", "10.0.0.1:-1", "x", "", "a\0:1", "127.0.0.1:" + "9" * 99],
)
def test_a_call_to_an_invalid_address_was_not_sent(address):
    async def run():
        async with PeerPool.open() as pool:
            with pytest.raises(PeerUnsentError):
                await pool.call(address, "lead", None, 0.5)

    asyncio.run(run())


def test_calls_are_not_collected_while_their_replies_are_not_read():
    count = 400
    started = 0

    async def run(request):
        nonlocal started
        started += 1
        return Answer(result=Result.COMPLETED, body=request.body)

    async def main():
        body = b"x" * 100_000
        calls = [
            encode_call("run", n, RunRequest("a", body=body)) for n in range(count)
        ]
        async with serve_peers("127.0.0.1:0", {"run": run}) as server:
            port = server.sockets[0].getsockname()[1]
            loop = asyncio.get_running_loop()
            with socket.create_connection(("127.0.0.1", port)) as sock:
                sock.setblocking(False)
                sending = asyncio.ensure_future(
                    loop.sock_sendall(sock, b"".join(calls))
                )
                last = -1
                while last != started:
                    last = started
                    await asyncio.sleep(0.5)
                assert not sending.done()
                assert 0 < started < count
                sending.cancel()

    asyncio.run(main())


@pytest.mark.parametrize("is_read", [True, False])
def test_only_a_peer_that_does_not_read_its_replies_is_aborted(monkeypatch, is_read):
    monkeypatch.setattr(peerserver, "UNREAD_TIMEOUT_S", 1.0)
    count = 40

    async def run(request):
        return Answer(result=Result.COMPLETED, body=b"x" * 1_000_000)

    async def main():
        async with serve_peers("127.0.0.1:0", {"run": run}) as server:
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for number in range(count):
                writer.write(encode_call("run", number, RunRequest("a")))
            # A slow peer reads for longer than the timeout.
            for _ in range(count * 10):
                await asyncio.sleep(0.005)
                if is_read:
                    await reader.readexactly(100_000)
            if not is_read:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await reader.readexactly(count * 1_000_000)
            writer.close()

    asyncio.run(main())


def test_a_connection_with_many_calls_is_read_again_after_they_end(monkeypatch):
    monkeypatch.setattr(peerserver, "MAX_CALLS", 5)

    async def scenario(pool, address):
        late = RunRequest(request_id="late", body=b"1")
        pending = [
            asyncio.ensure_future(pool.call(address, "run", late, 10)) for _ in range(8)
        ]
        other = PeerPool()
        await asyncio.sleep(0.05)
        await other.call(address, "answer", AnswerQuery(request_id="late"), 10)
        for call in pending:
            assert (await call).body == b"1"
        other.replace_connection(address, abort=True)

    run_with_agent(scenario)


def test_the_largest_part_of_a_frame_is_shed_and_other_calls_are_answered():
    async def main():
        agent = FakeAgent()
        quota = PeerQuota(ByteShare(300_000))
        async with (
            serve_peers("127.0.0.1:0", {"run": agent.run}, quota=quota) as server,
            PeerPool.open() as pool,
        ):
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            frame = encode_call("run", 1, RunRequest("a", body=b"x" * 1_000_000))
            writer.write(frame[:-1])
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 10) == b""
            request = RunRequest(request_id="soon", body=b"2" * 100_000)
            reply = await pool.call(f"127.0.0.1:{port}", "run", request, 10)
            assert len(reply.body) == 100_000
        assert quota.share.used_bytes == 0

    asyncio.run(main())


def test_all_peers_can_connect_while_the_process_is_busy():
    async def main():
        quota = PeerQuota(max_accepted=32)
        async with serve_peers("127.0.0.1:0", {}, quota=quota) as server:
            address = server.sockets[0].getsockname()
            with contextlib.ExitStack() as stack:
                # The event loop accepts nothing meanwhile. A connection that the kernel
                # does not take is tried again after 1 s, when peers have given up.
                for _ in range(195):
                    sock = stack.enter_context(socket.socket())
                    sock.settimeout(0.5)
                    sock.connect(address)

    asyncio.run(main())


def test_silent_connections_make_room_for_peers():
    async def main():
        agent = FakeAgent()
        quota = PeerQuota(max_connections=3)
        request = RunRequest(request_id="soon", body=b"2")
        async with (
            serve_peers("127.0.0.1:0", {"run": agent.run}, quota=quota) as server,
            PeerPool.open() as pool,
        ):
            port = server.sockets[0].getsockname()[1]
            address = f"127.0.0.1:{port}"
            await pool.call(address, "run", request, 10)
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in "abcd"]
            assert await silent[0][0].read() == b""
            assert await silent[1][0].read() == b""
            assert pool.traffic.sent_messages == 1
            assert (await pool.call(address, "run", request, 10)).body == b"2"
            assert not silent[3][0].at_eof()

    asyncio.run(main())
