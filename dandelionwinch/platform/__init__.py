"""Everything that only translates between the product and the platform."""

from dandelionwinch.platform._boot import load as load_settings

__all__ = ['load_settings']
