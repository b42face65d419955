"""Base class of the messages between instances."""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of every message; encoded with the class name as its tag."""
