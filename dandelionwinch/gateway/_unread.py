"""What the peer of a connection has not accepted yet."""

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
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return waiting
    answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return waiting + struct.unpack('i', answer)[0]
