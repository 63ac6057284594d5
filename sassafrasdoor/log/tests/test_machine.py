"""Random interleavings of appends, faults, expiry, restarts and late checkpoints."""

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


class RecordingLog(MemoryLog):
    """Keeps all records ever appended and the expected state after each."""

    def __init__(self):
        super().__init__(stride=2)
        self.all_records = []
        self.expected_states = [agreed.Agreed()]

    def _add(self, stream, body):
        offset = super()._add(stream, body)
        self.all_records.append(self._records[stream][-1])
        self.expected_states.append(
            agreed.fold(self.expected_states[-1], self.all_records[-1])
        )
        return offset

    def expected_state(self, below):
        """Return the fold of all records ever appended below an offset."""
        return self.expected_states[
            bisect_left([record.offset for record in self.all_records], below)
        ]


class Reader:
    """A follower, all revisions it has published, and the state last checked."""

    def __init__(self, log):
        self.published = []
        self.checked_state = None
        self.follower = following.Follower(
            SETTINGS, log, agreed.fold, agreed.Agreed(), may_checkpoint=lambda: True
        )
        self.follower.on_change(lambda state: self.published.append(state.revision))


class FollowersMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.runner = asyncio.Runner()
        self.patches = [
            mock.patch.object(following, "BATCH_SIZE", 3),
            mock.patch.object(checkpoints, "BATCH_SIZE", 3),
        ]
        for patch in self.patches:
            patch.start()
        self.log = RecordingLog()
        self.readers = [Reader(self.log) for _ in range(READERS)]
        self.snapshots = []
        self.count = 0

    def teardown(self):
        if not hasattr(self, "runner"):
            return
        try:
            self.check_caught_up_readers_agree()
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

    @precondition(lambda self: self.log.all_records)
    @rule(which=ANY)
    def repeat_an_old_append(self, which):
        self.append(self.log.all_records[which % len(self.log.all_records)].body)

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
    def adopt_an_old_peer_state(self, which, reader):
        self.readers[reader].follower.adopt(
            *self.snapshots[which % len(self.snapshots)]
        )

    @precondition(lambda self: self.snapshots)
    @rule(which=ANY)
    def append_a_possibly_late_checkpoint(self, which):
        snapshot = self.snapshots[which % len(self.snapshots)]
        self.append(checkpoints.body(*snapshot))

    @rule(reader=READER)
    def write_checkpoint_if_due(self, reader):
        self.runner.run(self.readers[reader].follower._write_checkpoint_if_due())

    @precondition(lambda self: self.log.all_records)
    @rule(keep=st.integers(1, 8))
    def expire(self, keep):
        self.log.expire(STREAM, self.log.all_records[-keep:][0].offset)

    @rule(reader=READER)
    def poll_during_an_outage(self, reader):
        self.log.down = True
        follower = self.readers[reader].follower
        assert not self.runner.run(follower.poll(0))
        self.log.down = False

    @invariant()
    def state_is_the_fold_of_all_records_below_as_of(self):
        for reader in getattr(self, "readers", ()):
            follower = reader.follower
            if follower.state is not reader.checked_state:
                reader.checked_state = follower.state
                expected = self.log.expected_state(follower.as_of).as_document()
                assert follower.state.as_document() == expected

    @invariant()
    def no_reader_publishes_an_earlier_revision(self):
        for reader in getattr(self, "readers", ()):
            assert reader.published == sorted(reader.published)

    def check_caught_up_readers_agree(self):
        end = self.log._next[STREAM]
        expected = self.log.expected_state(end).as_document()
        for reader in [*self.readers, Reader(self.log)]:
            for _ in range(len(self.log.all_records) + 2):
                self.runner.run(reader.follower.poll(0))
            if reader.follower.as_of == end:
                assert reader.follower.state.as_document() == expected
            else:
                self.assert_no_usable_checkpoint(reader.follower.as_of)

    def assert_no_usable_checkpoint(self, as_of):
        """Assert that a reader is stuck only if unread records expired uncheckpointed."""
        first = self.log._first[STREAM]
        assert as_of < first
        kept = [record for record in self.log.all_records if record.offset >= first]
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
