"""Guards against malformed input that ends a process or the task that reads it."""

import base64
import copy
import json
import unittest
from types import SimpleNamespace

from hypothesis import example, given, settings as run_settings, strategies as st
from tornado.httputil import HTTPHeaders

from sassafrasdoor import settings
from sassafrasdoor.cluster import TABLE
from sassafrasdoor.control import messages as control_messages
from sassafrasdoor.control.instances import listing_from
from sassafrasdoor.log import checkpoints
from sassafrasdoor.log.agreed import Agreed, fold
from sassafrasdoor.log.interface import Record
from sassafrasdoor.outcomes import Rejected
from sassafrasdoor.requests import reading
from sassafrasdoor.steps.spec import FetchSpec, StepSpec, parse_input
from sassafrasdoor.steps.token import DeliveryToken
from sassafrasdoor.table import sheets
from sassafrasdoor.table.rows import Table, table_from
from sassafrasdoor.timeline.sources import PARSE_ERRORS, event_from

fuzzed = run_settings(derandomize=True, deadline=None, max_examples=150)

# What ``json.loads`` can give: lone surrogates and infinities included.
TEXT = st.text(st.characters(exclude_categories=()), max_size=12)
EXTREMES = [10**30, 2**64 - 1, 0, -1, 1e999, "\ud800", "", "x" * 5000, {}, []]
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | TEXT
SCALARS |= st.sampled_from(EXTREMES)
JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=6,
)

VALUES = JSON | st.sampled_from(EXTREMES)
NAMES = TEXT | st.sampled_from(["\ud800", "x" * 5000])


def paths_in(document, path=()):
    """Every place in a JSON document, the whole included."""
    yield path
    if isinstance(document, dict):
        for name, value in document.items():
            yield from paths_in(value, (*path, name))
    if isinstance(document, list):
        for index, value in enumerate(document):
            yield from paths_in(value, (*path, index))


@st.composite
def nearly(draw, document):
    """``document`` with some values replaced, left out or put in."""
    whole = {"": copy.deepcopy(document)}
    for _ in range(draw(st.integers(1, 2))):
        *parents, last = draw(st.sampled_from(list(paths_in(whole))[1:]))
        place = whole
        for name in parents:
            place = place[name]
        if isinstance(place, dict) and last and draw(st.booleans()):
            place[draw(NAMES)] = place.pop(last)
        else:
            place[last] = draw(VALUES)
    return whole[""]


def bytes_of(document):
    return json.dumps(document).encode()


STEP = {
    "step": "s",
    "attach": 1,
    "groups": [{"prompt": "p"}],
    "samples_per_group": 2,
    "max_tokens": 4,
    "deadline_ms": 5,
    "seed": 1,
    "token": "Aw==",
}
FETCH = {"attach": 1, "token": "Aw==", "newest_version": 3, "wait_ms": 10}
PROMPT = {"prompt": "p", "max_tokens": 2, "stream": True}
PROPOSAL = {"kind": "proposal", "id": "a", "base": 0, "author": "o", "table": TABLE}
CLAIM = {"kind": "lease", "name": "weights", "holder": "h", "replaces": 0, "id": "c"}
WEIGHTS = {"kind": "weights", "model": "m", "version": 3}
BACKEND = {
    "name": "e",
    "kind": "engine",
    "service": "s",
    "address": "127.0.0.1:1",
    "availability_zone": "z",
    "region": "r",
    "capacity": 2,
    "checks_fencing": True,
    "models": ["m"],
    "state": "alive",
}
ENTRY = {**BACKEND, "kind": "entry", "gossip_address": "127.0.0.1:2"}
EVENT = {"stamp": 1, "process": "p", "kind": "k", "row": "r"}


def accepted_state():
    state = Agreed()
    for offset, body in enumerate((PROPOSAL, CLAIM, WEIGHTS), 1):
        state = fold(state, Record(offset, body))
    return state


STATE = accepted_state()
CHECKPOINT = {"kind": "checkpoint", "as_of": 4, "state": STATE.as_document()}
A_LEASE = CHECKPOINT["state"]["leases"]["weights"]


def checkpoint_with(part, name, value):
    state = STATE.as_document()
    state[part] = {**state[part], name: value}
    return {**CHECKPOINT, "state": state}


RENAMED_LEASE = copy.deepcopy(CHECKPOINT)
RENAMED_LEASE["state"]["leases"] = {"other": A_LEASE}
FIRST_OFFSET = 10  # of the records that follow a checkpoint
CLAIM_OFFSET = FIRST_OFFSET + 1

RECORDS = st.one_of(JSON, *map(nearly, (PROPOSAL, CLAIM, WEIGHTS, CHECKPOINT)))


class InputTest(unittest.TestCase):
    def check(self, result, kind):
        """A value of ``kind``, or a ``Rejected`` whose findings have a place."""
        if isinstance(result, kind):
            return
        self.assertIsInstance(result, Rejected)
        self.assertTrue(result.reason and result.findings)
        for finding in result.findings:
            self.assertTrue(finding.place and finding.reason)
            self.assertLess(len(str(finding).encode()), 1000)

    @fuzzed
    @given(JSON | nearly(settings.DEFAULT))
    @example({"lease": {"duration": 1e999}})
    @example({"\ud800": {}})
    def test_settings(self, document):
        read = settings.from_document(document)
        self.check(read, settings.Settings)
        if read:
            json.dumps(read.model_dump(mode="json"), allow_nan=False)

    @fuzzed
    @given(JSON | nearly(TABLE))
    def test_table(self, document):
        self.check(table_from(document), Table)

    @fuzzed
    @given(
        st.sampled_from([sheets.from_csv, sheets.from_json]),
        st.one_of(
            TEXT,
            st.text("#revisonam,\n\"'19 \0\r", max_size=60),
            nearly({"revision": 3, **TABLE}).map(json.dumps),
            st.sampled_from(
                ["[" * 100_000, "# revision " + "9" * 5000, "9" * 5000, "a\n" * 5000]
            ),
        ),
    )
    def test_sheet(self, read, text):
        sheet = read(text)
        self.check(sheet, sheets.Sheet)
        if sheet:
            self.check(table_from(sheet.document), Table)

    @fuzzed
    @given(
        st.sampled_from([StepSpec, FetchSpec]),
        st.binary(max_size=40)
        | JSON.map(bytes_of)
        | nearly(STEP).map(bytes_of)
        | nearly(FETCH).map(bytes_of),
    )
    def test_step(self, model, body):
        spec = parse_input(model, body)
        self.check(spec, model)
        if isinstance(spec, StepSpec):
            self.assertTrue(spec.digest())

    @fuzzed
    @given(TEXT | st.binary(max_size=6).map(lambda raw: base64.b64encode(raw).decode()))
    def test_token(self, text):
        token = DeliveryToken.parse(text, 20)
        self.check(token, DeliveryToken)
        if isinstance(token, DeliveryToken) and text:
            self.assertEqual(token.encode(), text)

    @fuzzed
    @given(st.binary(max_size=40) | JSON.map(bytes_of) | nearly(PROMPT).map(bytes_of))
    def test_generate_body(self, body):
        read = reading.generate_body(body)
        self.check(read, reading.GenerateBody)
        if read:
            self.assertTrue(read.model_dump_json().encode())

    @fuzzed
    @given(
        st.dictionaries(
            st.sampled_from(["X-Deadline-Ms", "Idempotency-Key", "X-Repeatable"]),
            st.text(st.characters(codec="latin-1"), max_size=20)
            | st.sampled_from(["9" * 5000, "٣", "²", "no", "1000"]),
        )
    )
    def test_headers(self, headers):
        http = SimpleNamespace(method="GET", headers=HTTPHeaders(headers))
        row = SimpleNamespace(name="r", repeatable=True)
        options = settings.from_document({})
        read = reading.request_from(options, row, http, b"", path="/")
        self.check(read, reading.Request)

    @fuzzed
    @given(JSON | nearly(EVENT))
    def test_event(self, document):
        try:
            event = event_from(document)
        except PARSE_ERRORS:
            return
        self.assertIsInstance(event.stamp, int)

    @fuzzed
    @given(st.lists(JSON | nearly(BACKEND) | nearly(ENTRY), max_size=4))
    @example([{**BACKEND, "capacity": 1e999}, {**BACKEND, "capacity": 10**30}])
    def test_instance_list(self, documents):
        """What is taken can be told to the entry and asked for by name."""
        listing = listing_from([*documents, BACKEND, ENTRY])
        self.assertTrue(listing.backends and listing.members)
        control_messages.SCHEMA.Update.new_message(
            members=[control_messages.member_message(one) for one in listing.members],
            backends=[control_messages.backend_message(b) for b in listing.backends],
        ).to_bytes()
        self.assertTrue({one.name for one in listing.members})


class FoldTest(unittest.TestCase):
    @fuzzed
    @given(st.lists(RECORDS, max_size=6), st.booleans())
    @example([{**WEIGHTS, "version": 10**30}], True)
    @example([{**WEIGHTS, "model": "\ud800"}], True)
    @example([{**WEIGHTS, "version": 1}], False)
    @example([{**PROPOSAL, "id": "late"}], False)
    def test_fold(self, bodies, fresh):
        """Every record is folded; the table in force never goes back."""
        state = Agreed() if fresh else STATE
        for offset, body in enumerate(bodies, 0 if fresh else 4):
            after = fold(state, Record(offset, body))
            self.assertGreaterEqual(after.revision, state.revision)
            if after.revision != state.revision:
                self.assertEqual(body["base"], state.revision)
            for model, version in state.weights.items():
                self.assertGreaterEqual(after.weights[model], version)
            for name, lease in state.leases.items():
                self.assertGreaterEqual(after.leases[name].epoch, lease.epoch)
            state = after
        text = json.dumps(state.as_document())
        again = Agreed.from_document(json.loads(text))
        self.assertEqual(json.dumps(again.as_document()), text)
        control_messages.SCHEMA.Update.new_message(
            weights=control_messages.weights_messages(state.weights)
        ).to_bytes()

    @fuzzed
    @given(JSON | nearly(CHECKPOINT))
    @example(checkpoint_with("weights", "m", 1e999))
    @example(checkpoint_with("accepted", "revision", "x"))
    @example(checkpoint_with("accepted", "revision", None))
    @example(checkpoint_with("leases", "weights", {**A_LEASE, "epoch": None}))
    @example(RENAMED_LEASE)
    def test_checkpoint(self, body):
        """A checkpoint that is taken can be gone on from."""
        found = checkpoints.decode(Record(9, body), Agreed)
        if found is None:
            return
        state = found.state
        for offset, record in enumerate((PROPOSAL, CLAIM, WEIGHTS), FIRST_OFFSET):
            state = fold(state, Record(offset, record))
        self.assertGreaterEqual(state.revision, found.state.revision)
        self.assertLessEqual(set(found.state.leases), set(state.leases))
        for name, lease in state.leases.items():
            before = found.state.leases.get(name)
            # A checkpoint with another name for the lease has no former holder of it.
            least = CLAIM_OFFSET if before is None else before.epoch
            self.assertGreaterEqual(lease.epoch, least)
        json.dumps(state.as_document()).encode()
