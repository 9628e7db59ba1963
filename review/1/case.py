"""Leafs at full load turn requests away. Some leafs send a second copy of some of their
answers late, when the next request is already on the connection."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins as s

NODES = 3
LEAFS = 5
CONSUMERS_PER_NODE = 24
LOAD_S = 45
# `garble`, how "extra late": share 0.6 of the leafs, x 0.03 of their answers.
FAULTY_LEAFS = 3
COPIED = 0.03
SEED = 28


class Leaf(s.Leaf):
    faulty, copies, copied_refusals, draw = False, 0, 0, None

    async def handle(self, request, writer, connection):
        late = connection["last"]
        connection["last"] = None
        if late is not None:
            answer, of, refused = late
            self.copies += 1
            self.copied_refusals += refused
            self.record.line(f"leaf {self.name} sends a late copy of its "
                             f"{'refusal of' if refused else 'answer to'} {of} while "
                             f"{request.get('request-id')} is on the connection")
            writer.write(answer)
            await writer.drain()
        await super().handle(request, writer, connection)

    async def send(self, writer, connection, request, answer, ran):
        if self.faulty and self.draw.random() < COPIED:
            connection["last"] = (answer, request.get("request-id"), not ran)
        await super().send(writer, connection, request, answer, ran)


async def case(record, trouble, nodes):
    store = s.Store()
    await store.start()
    leafs = [Leaf(record, f"i-{n}", "worker-phone", slots=3, queue=4, work_s=0.05)
             for n in range(LEAFS)]
    for number, leaf in enumerate(leafs):
        leaf.draw = random.Random(SEED + number)
        await leaf.start()
        await store.write(f"servers/{leaf.name}", leaf.entry())
    routes = [s.route("shift", "/shift/", "worker-phone", kind="non_idempotent", attempts=2)]
    await store.write("op/config", s.config(1, routes, ["worker-phone"]))
    for number in range(1, NODES + 1):
        nodes.append(s.Node(record, store, number))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    for leaf in leafs[:FAULTY_LEAFS]:
        leaf.faulty = trouble
    answers = {}
    end = asyncio.get_running_loop().time() + LOAD_S

    async def consume(node, number):
        consumer = s.Consumer(record, node.front)
        count = 0
        while asyncio.get_running_loop().time() < end:
            count += 1
            id = f"{node.name[-1]}{number:02d}-{count:05d}"
            answer = await consumer.ask("/shift/1", id, "POST", b"book")
            answers[id] = answer.status if isinstance(answer, s.Message) else answer
            if answers[id] != 200:
                await asyncio.sleep(0.05)
        consumer.close()

    await asyncio.gather(*(consume(node, n) for node in nodes
                           for n in range(CONSUMERS_PER_NODE)))
    await asyncio.sleep(1)
    runs = Counter(id for leaf in leafs for _, id in leaf.runs)
    twice = [id for id, count in runs.items() if count > 1]
    refused = [id for id, status in answers.items() if status in (429, 503) and id in runs]
    for id in twice:
        record.line(f"TWICE: {id} ran {runs[id]} times and was answered {answers.get(id)}")
    for id in refused:
        record.line(f"REFUSED: {id} was answered {answers[id]} and ran")
    summary = (f"{len(answers)} requests, answers {dict(Counter(answers.values()))}; "
               f"late copies {sum(l.copies for l in leafs)}, of refusals "
               f"{sum(l.copied_refusals for l in leafs)}; ran twice: {len(twice)}; "
               f"refused though run: {len(refused)}")
    return (s.BROKEN if twice else s.HELD), summary


s.main(case, FOLDER)
