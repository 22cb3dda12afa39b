"""Clients of external systems.

The wire names, paths and timeouts of an external system are defined only
in its adapter. The setting `kind` selects the adapter of the store and of
the list of instances.
"""

from dandelionwinch.adapters import endpointslices
from dandelionwinch.adapters import etcd

STORES = {'etcd': etcd.EtcdStore}
LIVE_LISTS = {'endpointslices': endpointslices.EndpointSliceList}


def open_store(cfg, idle_s):
    """Returns a client of the configured key-value store.

    Args:
        cfg: StoreSettings.
        idle_s: Seconds after which idle connections are closed.
    """
    return STORES[cfg.kind](cfg, idle_s)


def open_live_list(cfg, idle_s):
    """Returns a client of the configured list of instances.

    Args:
        cfg: LiveListSettings.
        idle_s: Seconds after which idle connections are closed.
    """
    return LIVE_LISTS[cfg.kind](cfg, idle_s)
