"""The OpenAPI document lists exactly the paths that the entry serves."""

import json
import re
import unittest

from sassafrasdoor.control.link import ControlLink
from sassafrasdoor.entry.components import Components
from sassafrasdoor.entry.server import EntryServer
from sassafrasdoor.settings import from_document
from sassafrasdoor.support import ROOT

GROUP = re.compile(r"\((?:[^()]|\([^()]*\))*\)\??")


class OpenApiTest(unittest.IsolatedAsyncioTestCase):
    async def test_documented_paths_match_the_served_paths(self):
        settings = from_document({})
        components = Components(settings, ControlLink(settings, "127.0.0.1:1"))
        served = {
            GROUP.sub("{}", rule.matcher.regex.pattern.rstrip("$"))
            for rule in EntryServer(settings, components)
            .application()
            .wildcard_router.rules
        }
        page = json.loads((ROOT / "docs" / "openapi.json").read_text("utf-8"))
        documented = {re.sub(r"\{[^}]*\}", "{}", path) for path in page["paths"]}
        documented = {
            path.replace("/v1/call/{}/{}", "/v1/call/{}{}") for path in documented
        }
        self.assertEqual(documented, {path for path in served if path != ".*"})
        await components.close()
