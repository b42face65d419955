"""Parts of the organisations' limits, in the messages of a region."""

import msgspec

from cowsliprack.protocol.peer_message import PeerMessage


class CreditUse(msgspec.Struct, frozen=True, array_like=True):
    """Demand of an instance for an organisation, and its part of the limit.

    :param wanted: tokens a second that its requests have lately needed.
    :param rate: tokens a second that it holds of the limit.
    """

    organisation: str
    wanted: float = 0
    rate: float = 0


class CreditShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of the limit of an organisation for one instance.

    :param rate: tokens a second.
    :param cap: tokens that may be saved up.
    :param limit: tokens that the limit admits in a window, as divided.
    """

    organisation: str
    rate: float
    cap: float
    limit: float


class TokenLoanAsk(PeerMessage, frozen=True):
    """Request for tokens that another instance may admit on its own.

    Sent to instances of message level 6 or higher while the leader is silent
    or new.

    :param address: address at which other instances reach the sender.
    :param tokens: tokens wanted.
    :param number: number of the request; repeated in the answer.
    """

    instance_id: str
    address: str
    organisation: str
    tokens: int
    number: int


class TokenLoan(PeerMessage, frozen=True):
    """Tokens that the sender does not admit any more, for another instance.

    :param tokens: number of tokens; 0 if it has none.
    :param number: number of the request.
    """

    instance_id: str
    organisation: str
    tokens: int
    number: int


class TokenLoanReturn(PeerMessage, frozen=True):
    """Tokens of a loan that the sender has not used.

    :param tokens: number of tokens.
    """

    organisation: str
    tokens: int
