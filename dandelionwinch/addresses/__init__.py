"""Which instance a clerk should use."""

from dandelionwinch.addresses._answers import Answer
from dandelionwinch.addresses._answers import answer

__all__ = ['Answer', 'answer']
