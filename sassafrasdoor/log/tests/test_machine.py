"""Any interleaving of appends, faults, expiries, restarts and late checkpoints."""

import asyncio
from bisect import bisect_left
from unittest import mock

from hypothesis import settings as hypothesis_settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafrasdoor import settings
from sassafrasdoor.log import agreed, checkpoints, follower as following
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.table.tests.test_accepted import proposal

SETTINGS = settings.from_document(
    {"platform": {"checkpoint_every": 3, "poll_interval": 0.001}}
)
STREAM = SETTINGS.platform.agreed_stream
READERS = 3
READER = st.integers(0, READERS - 1)
ANY = st.integers(0, 1000)
FAULT = st.sampled_from([None, None, "lose_replies", "duplicates"])


class RememberingLog(MemoryLog):
    """Keeps every record ever and the state after it, to judge the readers by."""

    def __init__(self):
        super().__init__(stride=2)
        self.ever = []
        self.truths = [agreed.Agreed()]

    def _add(self, stream, body):
        offset = super()._add(stream, body)
        self.ever.append(self._records[stream][-1])
        self.truths.append(agreed.fold(self.truths[-1], self.ever[-1]))
        return offset

    def truth(self, below):
        """Return the fold of every record ever appended below an offset."""
        return self.truths[bisect_left([one.offset for one in self.ever], below)]


class Reader:
    """A follower, every revision that it ever published, the state last judged."""

    def __init__(self, log):
        self.published = []
        self.judged = None
        self.follower = following.Follower(
            SETTINGS, log, agreed.fold, agreed.Agreed(), may_checkpoint=lambda: True
        )
        self.follower.on_change(lambda state: self.published.append(state.revision))


class FollowersMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.runner = asyncio.Runner()
        self.patches = [
            mock.patch.object(following, "BATCH", 3),
            mock.patch.object(checkpoints, "BATCH", 3),
        ]
        for patch in self.patches:
            patch.start()
        self.log = RememberingLog()
        self.readers = [Reader(self.log) for _ in range(READERS)]
        self.snapshots = []
        self.count = 0

    def teardown(self):
        if not hasattr(self, "runner"):
            return
        try:
            self.all_that_can_catch_up_agree()
        finally:
            for patch in self.patches:
                patch.stop()
            self.runner.close()

    def append(self, body, fault=None):
        if fault:
            setattr(self.log, fault, 1)
        self.runner.run(self.log.append(STREAM, body))
        self.log.lose_replies = self.log.duplicates = 0

    @rule(reader=READER, fault=FAULT, stale=st.booleans(), valid=st.booleans())
    def propose(self, reader, fault, stale, valid):
        self.count += 1
        state = self.readers[reader].follower.state
        base = state.revision // 2 if stale else state.revision
        weight = float(self.count) if valid else -1.0
        body = proposal(f"p{self.count}", base, weight)
        self.append({"kind": "proposal", **body}, fault)

    @rule(reader=READER, fault=FAULT, version=st.integers(1, 5))
    def claim_and_announce(self, reader, fault, version):
        self.count += 1
        lease = self.readers[reader].follower.state.leases.get("plan")
        body = {"name": "plan", "holder": f"h{reader}", "id": f"c{self.count}"}
        replaces = lease.offset if lease else 0
        self.append({"kind": "lease", "replaces": replaces, **body}, fault)
        self.append({"kind": "weights", "model": "m", "version": version}, fault)

    @precondition(lambda self: self.log.ever)
    @rule(which=ANY)
    def repeat_an_old_append(self, which):
        self.append(self.log.ever[which % len(self.log.ever)].body)

    @rule(reader=READER, times=st.integers(1, 4), restarted=st.booleans())
    def read(self, reader, times, restarted):
        if restarted:
            self.readers[reader] = Reader(self.log)
        follower = self.readers[reader].follower
        for _ in range(times):
            self.runner.run(follower.poll(0))
        if follower.confirmed_at is not None:
            self.snapshots.append((follower.state, follower.as_of))

    @precondition(lambda self: self.snapshots)
    @rule(which=ANY, reader=READER)
    def an_old_word_of_a_peer_arrives(self, which, reader):
        self.readers[reader].follower.adopt(
            *self.snapshots[which % len(self.snapshots)]
        )

    @precondition(lambda self: self.snapshots)
    @rule(which=ANY)
    def a_checkpoint_is_appended_perhaps_late(self, which):
        snapshot = self.snapshots[which % len(self.snapshots)]
        self.append(checkpoints.body(*snapshot))

    @rule(reader=READER)
    def offer_checkpoint(self, reader):
        self.runner.run(self.readers[reader].follower._offer_checkpoint())

    @precondition(lambda self: self.log.ever)
    @rule(keep=st.integers(1, 8))
    def expire(self, keep):
        self.log.expire(STREAM, self.log.ever[-keep:][0].offset)

    @rule(reader=READER)
    def an_outage_meets_a_reader(self, reader):
        self.log.down = True
        follower = self.readers[reader].follower
        assert not self.runner.run(follower.poll(0))
        self.log.down = False

    @invariant()
    def every_reader_holds_the_fold_of_all_records_below_it(self):
        for reader in getattr(self, "readers", ()):
            follower = reader.follower
            if follower.state is not reader.judged:
                reader.judged = follower.state
                expected = self.log.truth(follower.as_of).as_document()
                assert follower.state.as_document() == expected

    @invariant()
    def nobody_publishes_an_earlier_revision(self):
        for reader in getattr(self, "readers", ()):
            assert reader.published == sorted(reader.published)

    def all_that_can_catch_up_agree(self):
        end = self.log._next[STREAM]
        expected = self.log.truth(end).as_document()
        for reader in [*self.readers, Reader(self.log)]:
            for _ in range(len(self.log.ever) + 2):
                self.runner.run(reader.follower.poll(0))
            if reader.follower.as_of == end:
                assert reader.follower.state.as_document() == expected
            else:
                self.assert_nothing_usable(reader.follower.as_of)

    def assert_nothing_usable(self, as_of):
        """Only a reader whose records are gone, with no checkpoint, may be stuck."""
        first = self.log._first[STREAM]
        assert as_of < first
        kept = [record for record in self.log.ever if record.offset >= first]
        usable = [
            record
            for record in kept
            if checkpoints.is_checkpoint(record) and record.body["as_of"] >= first
        ]
        assert not usable, (as_of, first, usable)


FollowersMachine.TestCase.settings = hypothesis_settings(
    derandomize=True, max_examples=400, stateful_step_count=30, deadline=None
)
FollowersTest = FollowersMachine.TestCase
