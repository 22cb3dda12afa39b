"""Closes connections whose callers still send."""

# Time for which a caller may go on sending a refused request.
LINGER_S = 2.0


def close(transport, loop):
    """Closes a connection after what was written for its caller.

    What the caller still sends is read and dropped meanwhile: if it were
    left unread, the system would reset the connection, and the caller might
    never read that its request was not run.

    Args:
        transport: Transport of the connection.
        loop: The event loop.
    """
    transport.write_eof()
    loop.call_later(LINGER_S, transport.abort)
