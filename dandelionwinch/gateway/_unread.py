"""What the peer of a connection, or this process, has not read yet."""

import fcntl
import struct
import termios


def unread_bytes(transport):
    """Returns the bytes that were written and the peer has not acknowledged.

    Those in the buffer of the system count as well as those in the
    transport's. What the system of the peer holds for it does not.

    Args:
        transport: Transport of a TCP connection.
    """
    waiting = transport.get_write_buffer_size()
    return waiting + _queued_bytes(transport, termios.TIOCOUTQ)


def waiting_bytes(transport):
    """Returns the bytes that have arrived and the event loop has not read.

    Args:
        transport: Transport of a TCP connection.
    """
    return _queued_bytes(transport, termios.FIONREAD)


def _queued_bytes(transport, request):
    """Returns the bytes in a queue of the system, 0 without a socket."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    answer = fcntl.ioctl(sock.fileno(), request, bytes(4))
    return struct.unpack('i', answer)[0]
