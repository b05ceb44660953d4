"""Streams between instances: authentication, disconnects, invalid frames."""

import asyncio
import hmac
import queue
import secrets
import socket

import msgpack
import testtools

from catkintrail import messages
from catkintrail import settings
from catkintrail.adapters import peer_streams
from tests import processes

SECRET = "0123456789abcdef"
WAIT_SECONDS = 20


class Peer:
    """An instance's streams, with the messages and disconnects they report."""

    def __init__(self, case, name, secret=SECRET):
        self.port = processes.free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        self.received = queue.SimpleQueue()
        self.disconnected = queue.SimpleQueue()
        self.record = messages.MemberRecord(name, "x", "r", self.address, 1, 0)
        self.streams = peer_streams.PeerStreams(
            lambda: self.record,
            settings.PeerSettings(self.port, secret),
            "127.0.0.1",
            lambda sender, message: self.received.put((sender, message)),
            self.disconnected.put,
        )
        self.streams.start()
        self.is_open = True
        case.addCleanup(self.stop)

    def stop(self):
        if self.is_open:
            self.is_open = False
            self.streams.stop()


class PeerStreamsTests(testtools.TestCase):

    def test_messages_arrive_in_order_from_an_authenticated_sender(self):
        first, second = Peer(self, "a"), Peer(self, "b")
        for number in range(100):
            first.streams.send(second.address, messages.Withdraw(f"r{number}"))
        received = [
            second.received.get(timeout=WAIT_SECONDS) for _ in range(100)
        ]
        self.assertEqual({first.record}, {sender for sender, _ in received})
        ids = [message.request_id for _, message in received]
        self.assertEqual([f"r{number}" for number in range(100)], ids)

    def test_lost_stream_is_reported(self):
        first, second = Peer(self, "a"), Peer(self, "b")
        first.streams.send(second.address, messages.Withdraw("r"))
        second.received.get(timeout=WAIT_SECONDS)
        second.stop()
        self.assertEqual(
            second.address, first.disconnected.get(timeout=WAIT_SECONDS)
        )

    def test_peer_with_a_different_secret_is_refused(self):
        first, second = Peer(self, "a", "another secret!!"), Peer(self, "b")
        first.streams.send(second.address, messages.Withdraw("r"))
        processes.wait_until(lambda: first.streams.refused_count, "refusal")
        self.assertTrue(second.received.empty())

    def test_client_with_a_wrong_proof_is_refused(self):
        """The client sends a valid hello, but a wrong proof."""
        peer = Peer(self, "b")
        with socket.create_connection(("127.0.0.1", peer.port)) as client:
            client.settimeout(WAIT_SECONDS)
            record = messages.MemberRecord("a", "x", "r", "1.1.1.1:1", 1, 0)
            self.send(client, msgpack.packb((record, b"n" * 16)))
            client.recv(1_000)
            proof = hmac.digest(b"guess", secrets.token_bytes(16), "sha256")
            self.send(client, proof)
            self.send(client, messages.encode(messages.Withdraw("r")))
            self.assertEqual(b"", self.receive(client))
        processes.wait_until(lambda: peer.streams.refused_count, "refusal")
        self.assertTrue(peer.received.empty())

    def test_oversized_hello_is_refused_at_once(self):
        peer = Peer(self, "b")
        with socket.create_connection(("127.0.0.1", peer.port)) as client:
            client.settimeout(WAIT_SECONDS)
            client.sendall((1 << 30).to_bytes(4, "big") + b"x" * 100)
            self.assertEqual(b"", self.receive(client))
        processes.wait_until(lambda: peer.streams.refused_count, "refusal")

    def test_proof_of_one_role_differs_from_the_other(self):
        """Neither end can pass off the other's proof as its own."""
        nonce = b"n" * 16
        roles = {
            peer_streams._compute_proof(SECRET, role, nonce, nonce)
            for role in ("accept", "open")
        }
        self.assertEqual(2, len(roles))

    def send(self, client, content):
        try:
            client.sendall(len(content).to_bytes(4, "big") + content)
        except OSError:
            pass

    def receive(self, client):
        try:
            return client.recv(100)
        except ConnectionResetError:
            return b""


class FrameTests(testtools.TestCase):

    def test_truncated_frame_is_rejected(self):
        async def read():
            reader = asyncio.StreamReader()
            reader.feed_data(b"\0\0\0\5abc")
            reader.feed_eof()
            return await peer_streams._read_frame(reader, 100)

        self.assertRaises(asyncio.IncompleteReadError, asyncio.run, read())
