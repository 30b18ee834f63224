"""Quarantine of the parts of prompts under which engines end."""

from sesamearch.quarantine.controller import PromptQuarantine, retry_after_s
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.evidence import LossEvidence, Suspect
from sesamearch.quarantine.fingerprint import RequestFingerprints
from sesamearch.quarantine.loss import EndpointLoss
from sesamearch.quarantine.register import QuarantineRegister

__all__ = [
    "EndpointLoss",
    "LossEvidence",
    "PromptQuarantine",
    "Quarantine",
    "QuarantineRegister",
    "RequestFingerprints",
    "Suspect",
    "retry_after_s",
]
