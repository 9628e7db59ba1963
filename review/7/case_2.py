"""All leafs of a service crash while a request that many clients repeat runs on them."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import config, main, route

# The sheet's figures: a service of 3 leafs with 3 slots each, and 45 requests a second of
# 160 ms each.
LEAVES = 3
SLOTS = 3
WORK_S = 0.16
PER_S = 45
# Requests that each leaf runs at least at the moment of the crash; all together run 7 on
# average.
RUNNING = 2
CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0
DOWN_S = 3.6
STEADY_S = 20.0


class Tally:
    """Requests on one route that were sent in a span, and how many were served."""

    def __init__(self):
        self.asked = self.served = 0
        self.statuses = {}

    def add(self, answer):
        self.asked += 1
        self.served += answer is not None and answer[0] == 200
        status = answer[0] if answer else "none"
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def __str__(self):
        return f"{self.served} of {self.asked} served, answers {self.statuses}"


async def send(world, tallies, seconds, until=None):
    """Sends requests to both routes for a while, and counts those sent meanwhile. Goes on
    for at most as long again until a condition holds."""
    tasks = []
    end = time.monotonic() + seconds
    last = end + seconds

    async def one(name):
        _, answer = await world.ask(random.choice(world.nodes), f"/{name}/today", deadline=4000)
        tallies[name].add(answer)

    while time.monotonic() < end or (until and not until() and time.monotonic() < last):
        for name in tallies:
            tasks.append(asyncio.ensure_future(one(name)))
        await asyncio.sleep(random.expovariate(PER_S))
    return tasks


async def case(world):
    zones = list(world.zones)
    await world.start_store()
    for number in range(LEAVES):
        for service in ("first", "desk"):
            await world.add_leaf(service, zones[number % 3], slots=SLOTS, work_s=WORK_S)
    leafs = [leaf for leaf in world.leaves if leaf.service == "desk"]
    first = route("first", "/first/", service="first")
    world.store.put("op/config", config(1, [first]))
    for zone in zones:
        world.add_node(zone)
    await world.start_nodes()
    later = route("later", "/later/", service="desk")
    world.store.put("op/config", config(2, [first, later]))
    await asyncio.sleep(CONFIG_APPLY_S)

    before = {"first": Tally(), "later": Tally()}
    # The leafs crash under their usual load.
    tasks = await send(world, before, 4.0,
                       lambda: all(leaf.running >= RUNNING for leaf in leafs))
    if world.trouble:
        running = [leaf.running for leaf in leafs]
        world.say(f"all leafs of the later route crash; requests that they run: {running}")
        for leaf in leafs:
            leaf.crash()
    down = {"first": Tally(), "later": Tally()}
    tasks += await send(world, down, DOWN_S)
    if world.trouble:
        for leaf in leafs:
            await leaf.restart()
        world.say("they are back")
    tasks += await send(world, {"first": Tally(), "later": Tally()}, STABLE_WINDOW_S + 1.0)
    steady = {"first": Tally(), "later": Tally()}
    tasks += await send(world, steady, STEADY_S)
    await asyncio.gather(*tasks)

    spans = [("before the crash", before), (f"in the {DOWN_S} s of it", down),
             ("in steady state after it", steady)]
    for when, tallies in spans:
        for name, tally in tallies.items():
            world.say(f"{when}, route {name}: {tally}")
    _, answer = await world.ask(world.nodes[0], "/later/today", deadline=4000)
    if answer is not None and answer[0] != 200:
        world.say(f"the same request once more: {answer[0]}, Retry-After "
                  f"{answer[1].get('retry-after')}, {answer[2].decode(errors='replace').strip()}")
    # CONFIG: 20 requests or more on a route that was added later are served less than a
    # quarter as often as those on the first.
    rates = {name: tally.served / tally.asked for name, tally in steady.items()}
    return steady["later"].asked < 20 or rates["later"] >= rates["first"] / 4


main(case, os.path.dirname(os.path.abspath(__file__)))
