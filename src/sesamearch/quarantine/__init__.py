"""Quarantine of requests, and of parts of prompts, under which endpoints end."""

from sesamearch.quarantine.controller import QuarantineController, retry_after_s
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.evidence import LossEvidence, Suspect
from sesamearch.quarantine.fingerprint import RequestFingerprints
from sesamearch.quarantine.loss import EndpointLoss
from sesamearch.quarantine.register import QuarantineRegister

__all__ = [
    "EndpointLoss",
    "LossEvidence",
    "QuarantineController",
    "Quarantine",
    "QuarantineRegister",
    "RequestFingerprints",
    "Suspect",
    "retry_after_s",
]
