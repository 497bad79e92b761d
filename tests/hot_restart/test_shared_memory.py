"""Both processes of an upgrade keep within one limit of memory.

Guards against a sum over the limit while each process is below it.
"""

import pytest

from badgerroad.hot_restart import messages
from badgerroad.hot_restart.peers import Peers
from badgerroad.hot_restart.resource_accounting import ResourceAccounting
from tests.support.loopback import World, async_test, serve

MEMORY = messages.MemoryInUse(message_bytes=3_000_000, resident_bytes=40_000_000)


@pytest.mark.parametrize("memory", [None, MEMORY], ids=["older version", "this version"])
def test_the_reported_usage_is_encoded_and_decoded(memory):
    message = messages.ResourcesInUse(7, memory)
    assert messages.decode(message.kind, message.to_head()) == message


@async_test
async def test_a_new_process_leaves_the_memory_to_its_predecessor_that_this_one_uses():
    async with World(serve, ops=True) as w:
        memory, plan = w.dispatcher.memory, w.dispatcher.memory_plan
        resources = ResourceAccounting(w.dispatcher, w.dispatcher.wheel, Peers())
        resources.set_peer_usage(messages.ResourcesInUse(7))
        assert memory.limit == memory.total - memory.total // 2
        assert memory.resident_elsewhere == plan.reserved_bytes + memory.total // 2
        resources.set_peer_usage(messages.ResourcesInUse(7, MEMORY))
        assert memory.limit == memory.total - 3_000_000
        assert memory.resident_elsewhere == 40_000_000
        resources.reclaim_all()
        assert (memory.limit, memory.resident_elsewhere) == (memory.total, None)


@async_test
async def test_a_process_that_has_yielded_takes_no_more_memory_and_frees_what_its_successor_needs():
    async with World(serve, ops=True) as w:
        memory = w.dispatcher.memory
        peers = Peers()
        resources = ResourceAccounting(w.dispatcher, w.dispatcher.wheel, peers)
        memory.account().resize(1_000_000)
        peers.recipient = object()
        resources.leave_unused_to_peer()
        assert memory.limit == 1_000_000
        assert not memory.has_room
        resources.set_peer_usage(messages.ResourcesInUse(7, MEMORY))
        assert memory.limit == 1_000_000
        assert memory.resident_elsewhere == 40_000_000
