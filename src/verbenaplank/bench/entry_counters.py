"""Messages that the entries counted, read from their ``/metrics``."""

from __future__ import annotations

from collections import Counter

PREFIX = "verbenaplank_entry_"
SUFFIX = "_total"
MESSAGES_PER_ROUND = 2
"""A dispatch or a revocation and its answer."""


def parse_entry_counters(text: str) -> Counter[str]:
    """Return the entry's counters by name, without prefix and suffix."""
    counts: Counter[str] = Counter()
    for line in text.splitlines():
        sample, _, value = line.rpartition(" ")
        name = sample.partition("{")[0]
        if name.startswith(PREFIX) and name.endswith(SUFFIX):
            counts[name.removeprefix(PREFIX).removesuffix(SUFFIX)] += int(float(value))
    return counts


def count_useful_and_wasted(counts: Counter[str]) -> tuple[int, int]:
    """Return the useful and the wasted items.

    A result and its dispatch are useful; refused dispatches, revocations and
    stops, and results that nothing waits for, are wasted, with their answers.
    """
    wasted_rounds = counts["refusals"] + counts["revokes"] + counts["stops"]
    ignored = counts["dispatches_ignored"]
    useful = MESSAGES_PER_ROUND * (counts["results"] - ignored)
    return useful, MESSAGES_PER_ROUND * (wasted_rounds + ignored)
