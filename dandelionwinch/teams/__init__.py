"""Teams, which are told apart by the keys that their callers send."""

from dandelionwinch.teams._directory import Changes
from dandelionwinch.teams._directory import digest
from dandelionwinch.teams._directory import DIGEST_BYTES
from dandelionwinch.teams._directory import Team
from dandelionwinch.teams._directory import TeamDirectory
from dandelionwinch.teams._directory import TeamsInvalid

__all__ = [
    'Changes',
    'DIGEST_BYTES',
    'Team',
    'TeamDirectory',
    'TeamsInvalid',
    'digest',
]
