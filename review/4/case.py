"""Queries over ten shards. Some leafs hand out wrong bytes in a few of their answers: two
bytes of the signature are not ASCII. The other parts of such a query are sound."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins as s

NODES = 3
SHARDS = [f"desk-{n}" for n in range(10)]
LEAFS_PER_SHARD = 3
CONSUMERS_PER_NODE = 10
PAUSE_S = 0.25
LOAD_S = 25
# `garble`: share 0.35 of the leafs, x 0.02 of their answers.
FAULTY_SHARE = 0.35
SPOILT = 0.02
SEED = 28
# LOST: more than three times.
MOST_LOST = 3
RECORD_BYTES = 16


class Leaf(s.Leaf):
    draw, spoils, spoilt = None, False, 0

    async def work(self, request):
        await asyncio.sleep(self.work_s)
        id = request.get("request-id")
        body = b"".join(f"{self.draw.randrange(10**15):016d}".encode() for _ in range(25))
        signature = f"s.{id}.{self.name}"
        if self.spoils and self.draw.random() < SPOILT:
            self.spoilt += 1
            self.record.line(f"leaf {self.name} spoils its answer to {id}")
            signature = "\u00e9" + signature
        headers = [("Request-Id", id), ("Response-Signature", signature), self.load()]
        return s.response(200, headers, body)


async def case(record, trouble, nodes):
    store = s.Store()
    await store.start()
    leafs = [Leaf(record, f"i-{service}-{n}", service, slots=3, queue=18)
             for service in SHARDS for n in range(LEAFS_PER_SHARD)]
    for number, leaf in enumerate(leafs):
        leaf.draw = random.Random(SEED + number)
        await leaf.start()
        await store.write(f"servers/{leaf.name}", leaf.entry())
    gang = s.route("gang-fill", "/gang/", None, timeout_ms=1000, target_ms=250,
                   gather=SHARDS, topK=20, minShardRatio=0.89)
    del gang["service"]
    await store.write("op/config", s.config(1, [gang], SHARDS, connections=31))
    for number in range(1, NODES + 1):
        nodes.append(s.Node(record, store, number))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_ready()
    faulty = random.Random(SEED).sample(leafs, int(len(leafs) * FAULTY_SHARE))
    for leaf in faulty:
        leaf.spoils = trouble
    loop = asyncio.get_running_loop()
    end = loop.time() + LOAD_S
    answers = {}

    async def consume(node, number):
        consumer = s.Consumer(record, node.front)
        count = 0
        while loop.time() < end:
            count += 1
            id = f"{node.name[-1]}{number:02d}-{count:05d}"
            kept = consumer.writer is not None
            answer = await consumer.ask("/gang/1", id, deadline_ms=1000)
            word = answer.status if isinstance(answer, s.Message) else answer
            answers[id] = (word, kept)
            await asyncio.sleep(PAUSE_S)
        consumer.close()

    await asyncio.gather(*(consume(node, n) for node in nodes
                           for n in range(CONSUMERS_PER_NODE)))
    sound = {id for leaf in leafs if leaf not in faulty for _, id in leaf.runs}
    lost = [id for id, (word, kept) in answers.items()
            if kept and word in ("closed", "silent") and id in sound]
    for id in lost:
        record.line(f"LOST: {id} was passed on to sound leafs; its connection ended "
                    "without an answer")
    panics = 0
    for node in nodes:
        lines = node.logged("panicked")
        panics += len(lines)
        for line in lines:
            record.line(f"{node.name} logs: {line.split(' at ')[0]}")
    summary = (f"{len(answers)} requests, answers "
               f"{dict(Counter(word for word, _ in answers.values()))}; spoilt answers "
               f"{sum(l.spoilt for l in leafs)}; lost: {len(lost)}; panics: {panics}")
    return (s.BROKEN if len(lost) > MOST_LOST else s.HELD), summary


s.main(case, FOLDER)
