"""Runs an instance on the platform: `python -m dandelionwinch.platform`."""

from dandelionwinch.platform import _entry

if __name__ == '__main__':
    _entry.main()
