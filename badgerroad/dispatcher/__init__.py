"""The dispatcher: runs the dispatch policy of `load_balancing` and performs its actions on real sockets."""

from badgerroad.dispatcher.core import Dispatcher

__all__ = ["Dispatcher"]
