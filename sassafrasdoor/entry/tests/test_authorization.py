"""Rows and keys that an older table lacks."""

import unittest
from types import SimpleNamespace
from unittest import mock

from sassafrasdoor.clock import now
from sassafrasdoor.entry.components import Components
from sassafrasdoor.entry.server import Authorization
from sassafrasdoor.requests.tests.fakes import row_document, settings, view
from sassafrasdoor.security import key_hash

KEY, ROW = "a-key", "new"
AGE = 1.0  # seconds since the first table was confirmed


def view_with(*rows, age):
    return view(row_document("app"), *rows, confirmed_at=now() - age)


class ConfirmingLink:
    """A link to control that gets ``newest`` when the log is read; None if it is not."""

    def __init__(self, newest):
        self.view = view_with(age=AGE)
        self.confirmations = 0
        self._newest = newest

    async def confirm(self, seconds):
        self.confirmations += 1
        if self._newest is not None:
            self.view = view_with(*self._newest, age=0.0)


class AuthorizationTest(unittest.IsolatedAsyncioTestCase):
    async def authorize(self, newest, row_name=ROW):
        """Return the row that a call gets, the handler and the link."""
        link = ConfirmingLink(newest)
        components = Components(settings(instance={"name": "entry-1"}), link)
        self.addAsyncCleanup(components.close)
        headers = {"Authorization": f"Bearer {KEY}"}
        handler = mock.Mock(request=SimpleNamespace(headers=headers))
        return await Authorization(components)(handler, row_name), handler, link

    async def test_row_added_since_the_last_confirmation_is_found(self):
        """Guards against a 401 for a row that another instance serves already."""
        added = row_document(ROW, key_hashes=[key_hash(KEY)])
        row, handler, _ = await self.authorize([added])
        self.assertEqual(row.name, ROW)
        handler.set_status.assert_not_called()

    async def test_unknown_row_is_refused_by_a_table_that_is_confirmed(self):
        for name in (ROW, "app"):
            row, handler, link = await self.authorize([], name)
            self.assertIsNone(row)
            handler.set_status.assert_called_once_with(401)
            self.assertEqual(link.confirmations, 1)

    async def test_unknown_row_is_retryable_while_the_log_does_not_answer(self):
        """Guards against a 401 from a table that nobody confirms."""
        row, handler, _ = await self.authorize(None)
        self.assertIsNone(row)
        handler.set_status.assert_called_once_with(503)
        handler.set_header.assert_any_call("X-Outcome", "not-run")


if __name__ == "__main__":
    unittest.main()
