"""Runs an instance on the platform."""

from dandelionwinch.platform import _entry

if __name__ == '__main__':
    _entry.main()
