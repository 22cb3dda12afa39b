"""Adapters to the systems outside, each behind a small interface.

Every wire name, path and timeout of an outside system stays in its
adapter. Settings choose the adapter by its kind.
"""

from dandelionwinch.adapters import endpointslices
from dandelionwinch.adapters import etcd

STORES = {'etcd': etcd.EtcdStore}
LIVE_LISTS = {'endpointslices': endpointslices.EndpointSliceList}


def open_store(cfg, idle_s):
    """Opens the store that the settings name."""
    return STORES[cfg.kind](cfg, idle_s)


def open_live_list(cfg, idle_s):
    """Opens the list of instances that the settings name."""
    return LIVE_LISTS[cfg.kind](cfg, idle_s)
