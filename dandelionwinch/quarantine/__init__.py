"""Decides which requests are refused, as upstreams crash on them."""

from dandelionwinch.quarantine._quarantine import Hold
from dandelionwinch.quarantine._quarantine import Quarantine
from dandelionwinch.quarantine._subjects import call_keys
from dandelionwinch.quarantine._subjects import subject_key
from dandelionwinch.quarantine._subjects import Suspect

__all__ = ['Hold', 'Quarantine', 'Suspect', 'call_keys', 'subject_key']
