"""A state machine of a trainer, two instances and two engines, all with faults."""

import asyncio

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.tests.fakes import Bench
from sassafrasdoor.steps.token import DeliveryToken

SIZE = 4
BOUND = 1
LENGTH = 6
MAX_RECOVERY_ROUNDS = 400
INSTANCES = st.integers(0, 1)
ENGINES = st.sampled_from(["e1", "e2"])


class StepMachine(RuleBasedStateMachine):
    """The trainer gets each sample once, with correct labels and not too old."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.run(self.start())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def start(self):
        self.bench = Bench(length_of=lambda stream: LENGTH)
        self.services = [self.bench.instance(batch_size=2) for _ in range(2)]
        self.attach, self.instance = 0, 0
        self.received, self.token = {}, DeliveryToken(SIZE)
        self.saved = {}, DeliveryToken(SIZE)
        self.published = 1
        await self.submit(0)

    async def submit(self, instance):
        self.instance = instance
        self.attach += 1
        spec = self.bench.spec(attach=self.attach, token=self.token.encode())
        self.services[instance].submit(self.bench.row, spec)
        await asyncio.sleep(0)

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0.001)

    async def fetch(self, instance, token, attach):
        stated = self.published
        reply = await self.bench.fetch(
            self.services[instance], token.encode(), attach, newest_version=stated
        )
        if isinstance(reply, Outcome):
            return None
        newest = max(stated, self.bench.announced)
        for sample in reply["samples"]:
            self.check(sample, newest)
        return reply

    def check(self, sample, newest):
        words = [f"{word} " for word in sample["text"].split()]
        assert len(words) == LENGTH
        made = [self.bench.engines.versions_by_text[word] for word in words]
        labelled = [
            version
            for version, first, last in sample["spans"]
            for _ in range(first, last)
        ]
        assert made == labelled, (made, labelled)
        assert len({word.split("/")[1] for word in words}) == 1, words
        assert min(made) >= newest - BOUND, (made, newest)

    def accept(self, reply):
        for sample in reply["samples"] if reply else ():
            position = sample["group"] * 2 + sample["index"]
            assert position not in self.received, (
                "sample sent although the token names it"
            )
            assert self.token.add(position)
            self.received[position] = sample

    @rule(tokens=st.integers(1, 4))
    def engines_generate(self, tokens):
        self.bench.engines.tick(tokens)
        self.run(self.settle())

    @rule()
    def fetch_arrives(self):
        self.accept(self.run(self.fetch(self.instance, self.token, self.attach)))

    @rule()
    def reply_is_lost(self):
        self.run(self.fetch(self.instance, self.token, self.attach))

    @rule(instance=INSTANCES, back=st.integers(0, 2))
    def late_fetch_arrives(self, instance, back):
        attach = max(1, self.attach - back)
        self.run(self.fetch(instance, self.saved[1], attach))

    @rule(instance=INSTANCES)
    def trainer_attaches(self, instance):
        self.run(self.submit(instance))

    @rule()
    def trainer_saves(self):
        self.saved = dict(self.received), self.token.union([])

    @rule(instance=INSTANCES)
    def trainer_restarts(self, instance):
        self.received, self.token = dict(self.saved[0]), self.saved[1].union([])
        self.run(self.submit(instance))

    @rule(instance=INSTANCES)
    def instance_is_replaced(self, instance):
        self.run(self.services[instance].close())
        self.services[instance] = self.bench.instance(batch_size=2)

    @rule()
    def weights_are_published(self):
        self.published += 1

    @rule()
    def view_catches_up(self):
        self.bench.announced = self.published

    @rule(engine=ENGINES)
    def engine_swaps(self, engine):
        self.bench.engines[engine].version = self.published

    @rule(engine=ENGINES)
    def streams_are_cut(self, engine):
        self.bench.engines[engine].cut_next += 1

    @rule(engine=ENGINES)
    def engine_restarts(self, engine):
        self.bench.engines.lose_streams(engine)

    @rule(engine=ENGINES)
    def engine_freezes_or_thaws(self, engine):
        server = self.bench.engines[engine]
        server.frozen = not server.frozen

    def teardown(self):
        self.run(self.recover_and_finish())
        self.run(self.bench.close())
        self.loop.close()

    async def recover_and_finish(self):
        for server in self.bench.engines.servers.values():
            server.frozen, server.cut_next = False, 0
            server.version = self.published
        await self.submit(self.instance)
        for _ in range(MAX_RECOVERY_ROUNDS):
            self.bench.engines.tick(2)
            await asyncio.sleep(0.005)
            self.accept(await self.fetch(self.instance, self.token, self.attach))
            if self.token.complete:
                break
        assert set(self.received) == set(range(SIZE)), self.received.keys()


StepMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=25, deadline=None
)


class ExactlyOnceTest(StepMachine.TestCase):
    """Guards against lost, repeated, stale or wrongly labelled samples."""
