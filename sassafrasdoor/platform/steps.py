"""Parses the steps that trainers submit, and encodes the pages of samples."""

import base64
import binascii
import json

from sassafrasdoor.outcomes import Finding, Rejected
from sassafrasdoor.platform import wire
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.records import Item, RewardCall, StepSpec


def parse_step_spec(step_id, host, path, body, account=""):
    """Return the ``StepSpec`` of a submission, or ``Rejected`` with its findings."""
    try:
        document = json.loads(body)
        model = document.get("Model", "")
        rows = document["Items"]
        items = [
            _parse_item(row, model, f"Items.{index}") for index, row in enumerate(rows)
        ]
        findings = [
            finding for item in items if isinstance(item, list) for finding in item
        ]
        if findings:
            return Rejected("step invalid", findings)
        spec = StepSpec(
            step_id=step_id,
            host=host,
            path=path,
            number=int(document.get("Step", 0)),
            model=model,
            min_version=int(document.get("MinVersion", 0)),
            wanted=int(document.get("Desired", 0)),
            items=items,
            account=account,
        )
        # Every reader of the log skips invalid records: the step would be accepted and
        # never run.
        error_text = records.validation_error(spec)
        return (
            Rejected("step invalid", [Finding("(root)", error_text)])
            if error_text
            else spec
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Rejected("step invalid", [Finding("(root)", repr(error))])


def _parse_item(row, model, place):
    """Return the ``Item`` of a row, or a list of its ``Finding``s."""
    try:
        reward = _parse_reward(row.get("Scorer"), f"{place}.Scorer")
        if isinstance(reward, list):
            return reward
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
            reward,
        )
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        return [Finding(place, repr(error))]


def _parse_reward(document, place):
    """Return the ``RewardCall``, None if there is none, or a list of ``Finding``s."""
    if document is None:
        return None
    if not isinstance(document, dict):
        return [Finding(place, "must be an object")]
    findings = [
        Finding(f"{place}.{name}", "must be text that is not empty")
        for name in ("Id", "Host", "Path")
        if not isinstance(document.get(name), str) or not document[name]
    ]
    if not findings and not document["Path"].startswith("/"):
        findings.append(Finding(f"{place}.Path", "must begin with a slash"))
    body = b""
    try:
        body = base64.b64decode(document.get("Body") or "", validate=True)
    except (TypeError, ValueError, binascii.Error) as error:
        findings.append(Finding(f"{place}.Body", repr(error)))
    if findings:
        return findings
    return RewardCall(document["Id"], document["Host"], document["Path"], body)


def page_document(page):
    """Encode a ``Page`` as JSON bytes."""
    results = [_result_document(sample) for sample in page.samples]
    document = {
        "Total": page.total,
        "NextToken": page.first + len(results),
        "Results": results,
    }
    return json.dumps(document).encode()


def _result_document(sample):
    result = {
        "Id": sample.item_id,
        "State": sample.state,
        "Output": sample.text,
        "Versions": sample.versions,
    }
    if sample.score:
        result["Score"] = sample.score
    return result
