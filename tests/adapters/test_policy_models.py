"""The bounds of a service's policy as stored."""

import pytest
from pydantic import ValidationError

from almondspindle.adapters.platform.models import PolicyModel
from almondspindle.decisions.claim_keys import MAX_RETENTION_S


def test_a_window_of_keys_is_no_longer_than_records_are_kept():
    assert PolicyModel(key_retention_s=MAX_RETENTION_S).key_retention_s == MAX_RETENTION_S
    with pytest.raises(ValidationError, match="key_retention_s"):
        PolicyModel(key_retention_s=MAX_RETENTION_S + 1.0)
