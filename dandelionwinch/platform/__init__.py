"""Adapts dandelionwinch to the platform that runs it."""

from dandelionwinch.platform._boot import load as load_settings
from dandelionwinch.platform._deploy import check as check_deploy

__all__ = ['check_deploy', 'load_settings']
