"""The teams of one version of the configuration, by digests of their keys.

Only digests are kept, so that no dump or repr contains a key.
"""

import hashlib

import attrs

DIGEST_BYTES = 16


class TeamsInvalid(ValueError):
    """The teams of a configuration contradict each other."""


@attrs.frozen
class Team:
    """Who calls.

    Attributes:
        name: Name of the team.
        priority: Priority of its requests, 0 is the highest; None for that
            of the route.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Changes:
    """What differs between the keys of two versions.

    Attributes:
        removed: Digests that no longer belong to a team.
        added: For each digest that is new or belongs to another team now,
            that Team.
    """

    removed: frozenset[bytes] = frozenset()
    added: dict[bytes, Team] = attrs.Factory(dict)

    def __bool__(self):
        return bool(self.removed or self.added)


def digest(key):
    """Returns the digest under which a key is looked up.

    Args:
        key: Bytes of the key.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


class TeamDirectory:
    """The teams of one version of the configuration.

    Args:
        teams: Pairs of a Team and the digests of its keys.

    Raises:
        TeamsInvalid: If two teams have one name or one key. The message
            names the teams, never a key.
    """

    __slots__ = ('_by_digest', '_teams')

    def __init__(self, teams=()):
        self._teams = {}
        self._by_digest = {}
        for team, digests in teams:
            if team.name in self._teams:
                raise TeamsInvalid(f'two teams are named {team.name!r}')
            self._teams[team.name] = team
            for key_digest in digests:
                owner = self._by_digest.setdefault(key_digest, team)
                if owner is not team:
                    raise TeamsInvalid(
                        f'{owner.name!r} and {team.name!r} have the same key'
                    )

    def __len__(self):
        return len(self._teams)

    def __repr__(self):
        return f'<TeamDirectory of {len(self)} teams>'

    def team(self, name):
        """Returns the Team with a name, or None."""
        return self._teams.get(name)

    def find(self, key):
        """Returns the Team of a key, given as bytes, or None."""
        return self.find_digest(digest(key))

    def find_digest(self, key_digest):
        """Returns the Team of a key, given as its digest, or None."""
        return self._by_digest.get(key_digest)

    def changes(self, previous):
        """Returns the Changes since an earlier version.

        Args:
            previous: TeamDirectory of the earlier version.
        """
        old, new = previous._by_digest, self._by_digest
        return Changes(
            frozenset(old.keys() - new.keys()),
            {
                key_digest: team
                for key_digest, team in new.items()
                if old.get(key_digest) != team
            },
        )
