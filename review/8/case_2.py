"""A leaf in trouble runs a booking and then fails it with 503, without `Not-Executed`."""

import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import config, encode, main, route

LEAVES = 14  # two of them in trouble: a share of 0.143, at most 0.15
FAILED_SHARE = 0.4
BOOKINGS = 300
NOT_RUN = (408, 421, 429, 503)


async def fail_some(leaf, request, echo, writer):
    """Fails some of the requests after it has run them, and answers the others."""
    signature = ("Response-Signature", leaf.world.sign(request.header("request-id")))
    if random.random() < FAILED_SHARE:
        leaf.world.record("failed", request.header("request-id"), leaf.name)
        writer.write(encode(503, echo + [signature, leaf.load()], b"the ledger is away"))
    else:
        writer.write(encode(200, echo + [signature, leaf.load()], b"booked"))


async def case(world):
    await world.start_store()
    zones = list(world.zones)
    for number in range(LEAVES):
        await world.add_leaf("ledger", zones[number % 3])
    if world.trouble:
        for leaf in world.leaves[:2]:
            leaf.respond = fail_some
    routes = [route("book", "/book/", type="non_idempotent", service="ledger")]
    world.store.put("op/config", config(1, routes))
    for zone in zones:
        world.add_node(zone)
    await world.start_nodes()

    broken = twice = failed = 0
    for number in range(BOOKINGS):
        node = world.nodes[number % 3]
        body = b"booking %d" % number
        id, answer = await world.ask(node, f"/book/{number}", method="POST", body=body)
        if answer is None or answer[0] >= 300:
            failed += 1
        if answer is not None and answer[0] in NOT_RUN and world.ran(id):
            broken += 1
            world.record("broken", id, f"answered {answer[0]} and has run")
            # The client takes the status for the promise that it is, and asks again.
            id, answer = await world.ask(node, f"/book/{number}", method="POST", body=body)
            twice += answer is not None and answer[0] == 200
    world.say(f"{BOOKINGS} bookings, {failed} failed; {broken} were answered with a status that "
              f"promises that they have not run, and had run; {twice} of these were done again")
    # REFUSED: one is enough.
    return broken == 0


main(case, os.path.dirname(os.path.abspath(__file__)))
