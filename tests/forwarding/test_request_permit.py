"""The permit that a request holds for a limited endpoint."""

import unittest
from types import SimpleNamespace

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.permits import NO_CLAIM, PermitClaim, PermitDecision
from sesamearch.forwarding.request_permit import RequestPermit

ENDPOINT = Endpoint("e1", "10.0.0.1:1", "east", "desk", "v2")


class LaterPermits:
    """Decides on the claim when the test says so."""

    def claim(self, endpoint, claim, on_decision):
        self.decide = on_decision
        return NO_CLAIM


class TestHeldPermit(unittest.TestCase):
    def setUp(self):
        self.permits = LaterPermits()
        self.withheld = set()
        self.tools = SimpleNamespace(
            clock=Clock(),
            endpoint_index=SimpleNamespace(find={"e1": ENDPOINT}.get),
            gate=SimpleNamespace(is_withheld=lambda e: e.version in self.withheld),
            limits=SimpleNamespace(limit_per_s=lambda endpoint: 1.0),
            pauses=SimpleNamespace(is_paused=lambda endpoint: False),
            permits=self.permits,
        )
        self.permit = RequestPermit(self.tools, "r1")
        self.permit.claim(ENDPOINT, PermitClaim(1, False, 5.0), lambda: None)

    def test_granted_permit_is_held(self):
        self.permits.decide(PermitDecision(True, 0.0))
        self.assertEqual(self.permit.held_endpoint(), ENDPOINT)

    # Guards against a request to a version that was found bad while the request waited
    # for a permit of its endpoint.
    def test_permit_of_a_version_that_was_rejected_meanwhile_is_not_used(self):
        self.withheld.add("v2")
        self.permits.decide(PermitDecision(True, 0.0))
        self.assertIsNone(self.permit.held_endpoint())
