"""The operators' intent: objects, selectors, validation, acceptance, propagation."""

from walkcart.intent.applying import Applier, Proposal
from walkcart.intent.diffing import diff_configurations, merge_configurations
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.intent.document import Document, read_document
from walkcart.intent.loading import load_toml
from walkcart.intent.model import Configuration
from walkcart.intent.policy import Policy, resolve_policy
from walkcart.intent.selectors import Selector, parse_selector
from walkcart.intent.validation import validate_configuration

__all__ = [
    "Applier",
    "Configuration",
    "ConfigurationKeeper",
    "Document",
    "Policy",
    "Proposal",
    "Selector",
    "diff_configurations",
    "load_toml",
    "merge_configurations",
    "parse_selector",
    "read_document",
    "resolve_policy",
    "validate_configuration",
]
