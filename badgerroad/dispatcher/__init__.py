"""The dispatcher: hosts the decisions of `load_balancing` and performs their actions on real sockets."""

from badgerroad.dispatcher.core import Dispatcher

__all__ = ["Dispatcher"]
