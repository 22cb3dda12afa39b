"""Calls between peers, served and made with grpclib."""

import asyncio
import hmac
import ssl

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server

from dandelionwinch.daemon import _wire
from dandelionwinch.peers import peer_grpc
from dandelionwinch.peers import peer_pb2

HEARTBEAT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0

_CALL_ERRORS = (
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


def split_address(address):
    """Returns the IP address, without brackets, and the port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class Peers:
    """Serves calls of peers and calls them; every call has a timeout."""

    def __init__(self, core):
        self._core = core
        self._channels = {}
        self._server = None

    async def start(self):
        """Starts listening for peers."""
        self._server = server.Server([_PeerService(self._core)])
        host, port = split_address(self._core.cfg.instance.peer_address)
        context = _server_context(self._core.cfg.security)
        await self._server.start(host, port, ssl=context)

    async def close(self):
        """Stops listening and closes all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
        if self._server is not None:
            self._server.close()

    async def exchange_digests(self, address, digest):
        """Sends a digest; returns the peer's, or None without a reply."""
        return await self.call(address, 'Beat', digest, HEARTBEAT_TIMEOUT_S)

    async def call(self, address, method, request, timeout_s=CALL_TIMEOUT_S):
        """Calls a method of a peer.

        Args:
            address: The peer's address.
            method: Name of an RPC in peer.proto.
            request: Request message of that RPC.
            timeout_s: Longest wait for the reply.

        Returns:
            The reply, or None if there was none in time. The peer may
            have handled the call nevertheless.
        """
        channel = self._channel(address)
        stub = peer_grpc.PeerStub(channel)
        metadata = {}
        token = self._core.cfg.security.peer_token
        if token:
            metadata['authorization'] = f'Bearer {token}'
        try:
            return await getattr(stub, method)(
                request, timeout=timeout_s, metadata=metadata
            )
        except _CALL_ERRORS:
            # Reconnects on the next call, as the connection may be dead
            # without having been closed.
            if self._channels.get(address) is channel:
                del self._channels[address]
                channel.close()
            return None

    def _channel(self, address):
        channel = self._channels.get(address)
        if channel is None:
            host, port = split_address(address)
            context = _client_context(self._core.cfg.security)
            channel = client.Channel(host, port, ssl=context)
            self._channels[address] = channel
        return channel

    async def broadcast(self, method, request, timeout_s=CALL_TIMEOUT_S):
        """Calls a method of every other live instance concurrently.

        Returns:
            Replies by instance name; None where there was no reply.
        """
        core = self._core
        others = [
            peer
            for peer in core.members.live(core.now())
            if peer is not core.members.local
        ]
        replies = await asyncio.gather(
            *(
                self.call(peer.member.peer_address, method, request, timeout_s)
                for peer in others
            )
        )
        names = [peer.name for peer in others]
        return dict(zip(names, replies, strict=True))


def _server_context(cfg):
    if not cfg.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cfg.certificate_file, cfg.key_file)
    context.load_verify_locations(cfg.authority_file)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(['h2'])
    return context


def _client_context(cfg):
    if not cfg.certificate_file:
        return None
    context = ssl.create_default_context(cafile=cfg.authority_file)
    context.load_cert_chain(cfg.certificate_file, cfg.key_file)
    context.set_alpn_protocols(['h2'])
    return context


class _PeerService(peer_grpc.PeerBase):
    """Handlers of the RPCs in peer.proto."""

    def __init__(self, core):
        self._core = core

    async def _receive(self, stream):
        token = self._core.cfg.security.peer_token
        given = stream.metadata.get('authorization', '')
        if token and not hmac.compare_digest(
            given.encode(), f'Bearer {token}'.encode()
        ):
            raise exceptions.GRPCError(
                const.Status.UNAUTHENTICATED, 'peer token is wrong'
            )
        return await stream.recv_message()

    async def Beat(self, stream):  # noqa: N802
        digest = await self._receive(stream)
        await stream.send_message(await self._core.heartbeats.handle(digest))

    async def Documents(self, stream):  # noqa: N802
        request = await self._receive(stream)
        await stream.send_message(self._core.settings.handle(request))

    async def Hold(self, stream):  # noqa: N802
        request = await self._receive(stream)
        await stream.send_message(self._core.load_reports.hold(request))

    async def Claim(self, stream):  # noqa: N802
        request = await self._receive(stream)
        mutation = _wire.load_mutation(request.mutation)
        result = await self._core.claims.write(request.bucket, mutation)
        await stream.send_message(
            peer_pb2.ClaimReply(result=_wire.dump_result(result))
        )

    async def Place(self, stream):  # noqa: N802
        request = await self._receive(stream)
        await stream.send_message(self._core.placement_router.handle(request))

    async def Events(self, stream):  # noqa: N802
        request = await self._receive(stream)
        events = self._core.event_buffer.latest(request.limit)
        reply = peer_pb2.EventsReply(
            events=[_wire.dump_event(event) for event in events]
        )
        await stream.send_message(reply)

    async def Rows(self, stream):  # noqa: N802
        request = await self._receive(stream)
        rows = self._core.statements.own_rows(request.table, request.id)
        await stream.send_message(
            peer_pb2.RowsReply(rows=_wire.dump_rows(rows))
        )
