"""The listening socket, on loopback: connections in its queue are not reset when it closes."""

import asyncio
import socket

from dotterelfront import gateway, listener, relay

REQUEST = b"GET /1 HTTP/1.1\r\nHost: shop\r\n\r\n"


def test_queued_connections_are_answered_when_the_listener_closes():
    """Guards against a reset for callers whose connection waits in the queue at a planned stop."""

    async def answer(call):
        return relay.Answer(200, [], b"ok")

    async def scenario():
        endpoint = gateway.Gateway(answer)
        subject = listener.Listener("127.0.0.1:0", endpoint.connection)
        address = subject._sock.getsockname()
        callers = [socket.create_connection(address) for _ in range(100)]
        for caller in callers:
            caller.sendall(REQUEST)
        endpoint.drain()
        await subject.close()
        await endpoint.finish(asyncio.get_running_loop().time() + 5.0)
        replies = [await asyncio.to_thread(caller.recv, 1000) for caller in callers]
        for caller in callers:
            caller.close()
        return replies

    replies = asyncio.run(scenario())
    assert all(reply.startswith(b"HTTP/1.1 200") for reply in replies)
    assert all(b"Connection: close" in reply for reply in replies)


def test_accepting_goes_on_after_an_error():
    """Guards against a VM that accepts nothing more after it ran out of file descriptors."""

    async def scenario():
        accepted = asyncio.get_running_loop().create_future()

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport):
                accepted.set_result(True)

        subject = listener.Listener("127.0.0.1:0", Protocol)
        subject._on_accept_failed(OSError(24, "too many open files"))
        caller = socket.create_connection(subject._sock.getsockname())
        async with asyncio.timeout(5.0):
            await accepted
        caller.close()
        await subject.close()

    asyncio.run(scenario())
