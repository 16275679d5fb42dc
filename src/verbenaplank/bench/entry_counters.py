"""Message counters of the entries, read from their ``/metrics`` pages."""

from __future__ import annotations

from collections import Counter

METRIC_PREFIX = "verbenaplank_entry_"
METRIC_SUFFIX = "_total"
MESSAGES_PER_EXCHANGE = 2
"""A dispatch, revocation or stop, and the reply to it."""


def parse_entry_counters(text: str) -> Counter[str]:
    """Parse a metrics page and return the entry's counters.

    Counters of the same name with different labels are added up. The names come
    without ``verbenaplank_entry_`` and ``_total``.
    """
    counts: Counter[str] = Counter()
    for line in text.splitlines():
        sample, _, value = line.rpartition(" ")
        name = sample.partition("{")[0]
        if name.startswith(METRIC_PREFIX) and name.endswith(METRIC_SUFFIX):
            counts[name.removeprefix(METRIC_PREFIX).removesuffix(METRIC_SUFFIX)] += int(
                float(value)
            )
    return counts


def count_useful_and_wasted(counts: Counter[str]) -> tuple[int, int]:
    """Return the number of useful and of wasted messages.

    A dispatch and its result are useful. Refused dispatches, revocations, stops
    and results that no task waits for are wasted, together with their replies.
    """
    wasted_exchanges = counts["refusals"] + counts["revokes"] + counts["stops"]
    ignored = counts["dispatches_ignored"]
    useful = MESSAGES_PER_EXCHANGE * (counts["results"] - ignored)
    return useful, MESSAGES_PER_EXCHANGE * (wasted_exchanges + ignored)
