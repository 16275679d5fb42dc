from __future__ import annotations

import pytest

from verbenaplank.clock.sources import wall_clock_ms
from verbenaplank.identifiers.job_id import InvalidJobIdError
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.identifiers.job_id import parse_job_id


def test_new_id_is_accepted_and_canonical() -> None:
    job_id = new_job_id()

    assert parse_job_id(job_id.upper()) == job_id


def test_stamps_of_many_ids_do_not_run_ahead_of_the_clock() -> None:
    made = [new_job_id() for _ in range(20_000)]

    after_ms = wall_clock_ms()

    assert job_timestamp_ms(made[-1]) <= after_ms
    assert len(set(made)) == len(made)


def test_timestamp_is_read_from_the_first_bits() -> None:
    assert job_timestamp_ms("00000000-0123-7000-8000-000000000000") == 0x123


@pytest.mark.parametrize(
    "text", ["", "draw-1", "c232ab00-9414-11ec-b3c8-9f6bdeced846", "7" * 31]
)
def test_other_text_is_refused(text: str) -> None:
    with pytest.raises(InvalidJobIdError):
        parse_job_id(text)
