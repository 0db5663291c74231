"""Tests of the bounds of a stored service policy."""

import pytest
from pydantic import ValidationError

from almondspindle.adapters.platform.models import PolicyModel
from almondspindle.decisions.claim_keys import MAX_RETENTION_S


def test_idempotency_keys_are_not_valid_for_longer_than_claim_records_are_retained():
    assert PolicyModel(key_retention_s=MAX_RETENTION_S).key_retention_s == MAX_RETENTION_S
    with pytest.raises(ValidationError, match="key_retention_s"):
        PolicyModel(key_retention_s=MAX_RETENTION_S + 1.0)
