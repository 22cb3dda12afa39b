"""Teams, which are told apart by the keys that their callers send."""

from dandelionwinch.teams._directory import Changes
from dandelionwinch.teams._directory import digest
from dandelionwinch.teams._directory import DIGEST_BYTES
from dandelionwinch.teams._directory import Team
from dandelionwinch.teams._directory import TeamDirectory
from dandelionwinch.teams._directory import TeamsInvalid
from dandelionwinch.teams._history import KeyHistory
from dandelionwinch.teams._history import VersionChanges
from dandelionwinch.teams._reports import KeyReport
from dandelionwinch.teams._reports import KeyReports
from dandelionwinch.teams._reports import ReportedKey

__all__ = [
    'Changes',
    'DIGEST_BYTES',
    'KeyHistory',
    'KeyReport',
    'KeyReports',
    'ReportedKey',
    'Team',
    'TeamDirectory',
    'TeamsInvalid',
    'VersionChanges',
    'digest',
]
