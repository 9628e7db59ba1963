"""A version adds routes whose requests are split among eight services."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import config, main, route

# One strong machine and six weak ones: the sheet has 0.12 to 0.5 cores, and 2 of 12
# machines of a zone are strong.
POWERS = [0.5] + [0.12] * 6
CONFIG_APPLY_S = 3.0
STEADY_S = 4.0
ROUNDS = 12


async def case(world):
    services = 8 if world.trouble else 7
    await world.start_store()
    for number in range(services):
        for _ in range(2):
            await world.add_leaf(f"part-{number}", "addis-a")
    for _ in range(3):
        await world.add_leaf("first", "addis-a")
    first = route("first", "/first/", service="first")
    world.store.put("op/config", config(1, [first]))
    for power in POWERS:
        world.add_node("addis-a", limits__cpuShare=power)
    await world.start_nodes()
    await asyncio.sleep(STEADY_S)
    split = [{"service": f"part-{number}", "weight": 1} for number in range(services)]
    later = [route("later", "/later/", trafficSplit=split),
             route("book", "/book/", type="non_idempotent", trafficSplit=split)]
    world.store.put("op/config", config(2, [first] + later))
    world.say(f"version 2 adds two routes that are split among {services} services")
    await asyncio.sleep(CONFIG_APPLY_S + STEADY_S)

    asked = {"first": 0, "later": 0, "book": 0}
    served = dict.fromkeys(asked, 0)
    lost = dict.fromkeys(asked, 0)
    for turn in range(ROUNDS):
        for node in world.nodes:
            for name in asked:
                method, body = ("POST", b"a booking") if name == "book" else ("GET", b"")
                id, answer = await world.ask(node, f"/{name}/q{turn}", method=method, body=body)
                good = answer is not None and answer[0] == 200 \
                    and world.signatures.get(answer[1].get("response-signature")) == id
                asked[name] += 1
                served[name] += good
                lost[name] += not good and len(world.ran(id)) > 0
    for name in asked:
        world.say(f"{name}: {served[name]} of {asked[name]} served; {lost[name]} were run by a "
                  "leaf that answered 200, and the client got no success")
    rate = {name: served[name] / asked[name] for name in asked}
    rate["added"] = (served["later"] + served["book"]) / (asked["later"] + asked["book"])
    world.say(f"first routes {rate['first']:.2f}, routes added later {rate['added']:.2f}")
    # CONFIG: 20 requests or more on routes that were added later are served less than a
    # quarter as often as those on the first routes.
    return rate["added"] >= rate["first"] / 4


main(case, os.path.dirname(os.path.abspath(__file__)), {"addis-a": "addis"})
