from __future__ import annotations

import pytest

from verbenaplank.clock.sources import wall_clock_ms
from verbenaplank.identifiers.job_id import InvalidJobIdError
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.identifiers.job_id import parse_job_id


def test_new_id_is_accepted_and_canonical() -> None:
    """Guards against one id that is taken for two when its case differs."""
    job_id = new_job_id()

    assert parse_job_id(job_id.upper()) == job_id


def test_timestamps_of_many_ids_are_not_ahead_of_the_clock() -> None:
    """Guards against a generator that counts the timestamp up for unique ids.

    Registrars and entries refuse an id whose timestamp is too far in the future.
    """
    made = [new_job_id() for _ in range(20_000)]

    after_ms = wall_clock_ms()

    assert job_timestamp_ms(made[-1]) <= after_ms
    assert len(set(made)) == len(made)


def test_timestamp_is_read_from_the_first_48_bits() -> None:
    """Guards against a wrong shift, which would yield a wrong age of a job."""
    assert job_timestamp_ms("00000000-0123-7000-8000-000000000000") == 0x123


@pytest.mark.parametrize(
    "text", ["", "draw-1", "c232ab00-9414-11ec-b3c8-9f6bdeced846", "7" * 31]
)
def test_text_other_than_a_uuid_of_version_7_is_rejected(text: str) -> None:
    """Guards against ids without a timestamp, from which no age can be read."""
    with pytest.raises(InvalidJobIdError):
        parse_job_id(text)
