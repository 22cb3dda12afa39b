"""Decides which streams move off an engine that leaves, and how."""

from dandelionwinch.migration._departure import Departures
from dandelionwinch.migration._departure import must_move
from dandelionwinch.migration._departure import Progress
from dandelionwinch.migration._messages import Begin
from dandelionwinch.migration._messages import Choose
from dandelionwinch.migration._messages import Chosen
from dandelionwinch.migration._messages import Confirm
from dandelionwinch.migration._messages import Copied
from dandelionwinch.migration._messages import Copy
from dandelionwinch.migration._messages import Free
from dandelionwinch.migration._messages import GoOn
from dandelionwinch.migration._messages import InProgress
from dandelionwinch.migration._messages import NoBudget
from dandelionwinch.migration._messages import NoSuchRun
from dandelionwinch.migration._messages import NotSent
from dandelionwinch.migration._messages import Ready
from dandelionwinch.migration._messages import Refused
from dandelionwinch.migration._messages import Result
from dandelionwinch.migration._messages import Stay
from dandelionwinch.migration._messages import StreamEnded
from dandelionwinch.migration._messages import TargetGone
from dandelionwinch.migration._messages import Unanswered
from dandelionwinch.migration._messages import Wait
from dandelionwinch.migration._messages import Waited
from dandelionwinch.migration._migration import Migration
from dandelionwinch.migration._targets import choose_target
from dandelionwinch.migration._targets import Engine

__all__ = [
    'Begin',
    'Choose',
    'Chosen',
    'Confirm',
    'Copied',
    'Copy',
    'Departures',
    'Engine',
    'Free',
    'GoOn',
    'InProgress',
    'Migration',
    'NoBudget',
    'NoSuchRun',
    'NotSent',
    'Progress',
    'Ready',
    'Refused',
    'Result',
    'Stay',
    'StreamEnded',
    'TargetGone',
    'Unanswered',
    'Wait',
    'Waited',
    'choose_target',
    'must_move',
]
