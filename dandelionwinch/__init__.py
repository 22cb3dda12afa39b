"""A serving system for a fixed fleet of model engines.

There are two stacks, each a complete server. Neither imports the other;
they share ``addresses``, ``errors`` and ``utils``.

The gateway stack runs on a platform that gives it its settings, its store
and its wire protocol (``python -m dandelionwinch.platform``). It serves
*callers* on one asyncio event loop:

* ``platform``: the platform's settings file, headers and store entries;
* ``control``: store sync, registration, orders and shutdown;
* ``gateway``: the data path from callers to upstreams;
* ``routes``, ``attempts``, ``dispatch``: routing, retries, choice of the
  upstream;
* ``upstreams``, ``leadership``, ``eventlog``: observed health, the order
  lease, the event log.

The entry stack is the product's own interface. Its daemon, the entry
daemon (``python -m dandelionwinch entry``), serves *clients* in worker
threads and operators in a language of their own:

* ``entry``, ``listeners``, ``completion_relay``, ``service_relay``,
  ``delivery``: HTTP and the relays, in worker threads;
* ``daemon``: the core, an event loop in a thread of its own that owns the
  state; the relays send it messages;
* ``placement``, ``limits``, ``jobs``, ``earnings``, ``claims``,
  ``orders``, ``membership``, ``revisions``, ``language``, ``timeline``:
  decisions without I/O, some of them as sans-I/O programs (``effects``);
* ``adapters``, ``peers``: clients of the store, of upstreams and of other
  instances;
* ``settings``, ``readers``, ``catalog``: settings files and the catalog
  of configuration documents.

The commands are in ``tools``; ``search``, ``soak``, ``bench`` and
``standins`` are for tests and measurements.
"""

__version__ = '0.2.0'
