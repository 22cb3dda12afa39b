"""Which instance a clerk should use."""

from dandelionwinch.addresses._answers import answer
from dandelionwinch.addresses._answers import Answer

__all__ = ['Answer', 'answer']
