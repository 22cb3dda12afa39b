"""Parts of an instance's settings file that only some deployments have."""


def add_bounds(text, **bounds):
    """Returns the text of a settings file with further bounds.

    Args:
        text: Text with the table `[bounds]`.
        bounds: Values by the names of the file.
    """
    lines = ''.join(f'{name} = {_toml(v)}\n' for name, v in bounds.items())
    return text.replace('[bounds]\n', f'[bounds]\n{lines}')


def strict_revocation(text, revoke_s):
    """Returns a settings file by which keys expire without contact.

    Args:
        text: Text of the file.
        revoke_s: Time without contact in seconds.
    """
    return add_bounds(text, strictRevoke=True, revokeMs=int(revoke_s * 1e3))


def with_duties(text, address, duties, calls_per_s, window_s):
    """Returns a settings file with duties.

    Args:
        text: Text of the file.
        address: Address of the API.
        duties: Names of the duties, as in the file.
        calls_per_s: Rate of calls that the API accepts.
        window_s: Length of a window of usage in seconds.
    """
    names = ', '.join(f'"{name}"' for name in duties)
    return (
        f'{add_bounds(text, reportWindowS=window_s)}[cloud]\n'
        f'address = "{address}"\ndutyPerS = {calls_per_s}\n'
        f'duties = [{names}]\n'
    )


def _toml(value):
    return str(value).lower()
