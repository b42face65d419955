"""Interface for the connections to other instances."""

from typing import Protocol

from cowsliprack.protocol.peer import AnyPeerMessage


class Peers(Protocol):
    """Connections to other instances, by instance id.

    Sending never blocks. A message that cannot be queued is dropped, because
    every exchange between instances is repeated or expires.
    """

    def connect(self, instance_id: str, address: str) -> None:
        """Open or replace the connection to a peer.

        :param instance_id: id of the peer.
        :param address: ``ip:port`` of its ROUTER socket.
        """

    def disconnect(self, instance_id: str) -> None:
        """Close the connection to a peer.

        :param instance_id: id of the peer.
        """

    def send(self, instance_id: str, message: AnyPeerMessage) -> None:
        """Queue a message for a connected peer.

        :param instance_id: id of the peer; unknown ids are ignored.
        :param message: message to send.
        """

    async def receive(self) -> tuple[str, AnyPeerMessage]:
        """Return the sender's id and the next message."""
