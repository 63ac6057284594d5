"""Trainers' documents on the platform's wire, as the product's steps."""

import base64
import binascii
import json

from sassafrasdoor.outcomes import Finding, Rejected
from sassafrasdoor.platform import wire
from sassafrasdoor.steps.durable.records import Item, StepSpec


def spec_from(step_id, host, path, body):
    """Return the ``StepSpec`` in a submission, or ``Rejected`` with its findings."""
    try:
        document = json.loads(body)
        model = document.get("Model", "")
        rows = document["Items"]
        items = [_item(row, model, at) for at, row in enumerate(rows)]
        faults = [one for one in items if isinstance(one, Finding)]
        if faults:
            return Rejected("step invalid", faults)
        return StepSpec(
            step_id=step_id,
            host=host,
            path=path,
            number=int(document.get("Step", 0)),
            model=model,
            min_version=int(document.get("MinVersion", 0)),
            wanted=int(document.get("Desired", 0)),
            items=items,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Rejected("step invalid", [Finding("(root)", repr(error))])


def _item(row, model, at):
    try:
        headers = dict(row.get("Headers") or {})
        return Item(
            row["Id"],
            row["Path"],
            headers,
            base64.b64decode(row.get("Body") or "", validate=True),
            int(row.get("Tokens", 0)),
            int(float(headers.get(wire.LENGTH_HINT) or 0)),
            row.get("Group", ""),
            model,
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return Finding(f"Items.{at}", repr(error))


def page_document(page):
    """Return the JSON bytes of a ``Page``."""
    results = [
        {
            "Id": sample.item_id,
            "State": sample.state,
            "Output": sample.text,
            "Versions": sample.versions,
        }
        for sample in page.samples
    ]
    document = {
        "Total": page.total,
        "NextToken": page.first + len(results),
        "Results": results,
    }
    return json.dumps(document).encode()
