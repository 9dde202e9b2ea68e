"""Order of the reports and notices of each daemon, which datagrams do not keep."""

from __future__ import annotations

from endivevane.serving import peer_messages


class MessageOrder:
    """Tells whether a message is newer than all others of its sender and kind."""

    def __init__(self) -> None:
        # Sender and kind -> (incarnation, sequence number of the last message).
        self._received: dict[str, tuple[str, int]] = {}

    def is_newer(
        self, message: peer_messages.Report | peer_messages.MembershipNotice
    ) -> bool:
        """Return whether a message is newer, and record it if so."""
        sender = message.name
        if isinstance(message, peer_messages.MembershipNotice):
            sender += "/notice"
        elif message.covers_region:
            sender += "/region"
        incarnation, last = self._received.get(sender, ("", -1))
        if incarnation == message.incarnation and message.sequence <= last:
            return False
        self._received[sender] = (message.incarnation, message.sequence)
        return True
