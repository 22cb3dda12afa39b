"""Runs the command line as ``python -m dandelionwinch``."""

from dandelionwinch.tools import cli

if __name__ == '__main__':
    cli.main()
