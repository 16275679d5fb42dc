"""Command that computes the tables of docs/CAPACITY.md from measured slopes.

``python -m verbenaplank.bench.capacity docs/slopes.json docs/CAPACITY.md``
replaces the text between the begin mark and the end mark of the page.
"""

from __future__ import annotations

import json
from pathlib import Path

import typer

from verbenaplank.bench.capacity_model import Slopes
from verbenaplank.bench.capacity_model import estimate_role_usage
from verbenaplank.bench.capacity_tables import limits_table
from verbenaplank.bench.capacity_tables import roles_table
from verbenaplank.bench.capacity_target import CURRENT_LAYOUT
from verbenaplank.bench.capacity_target import PLANNED_LAYOUT
from verbenaplank.bench.capacity_target import CapacityTarget

BEGIN_MARK = "<!-- computed tables: begin -->"
END_MARK = "<!-- computed tables: end -->"


def main(slopes_path: str, page_path: str) -> None:
    """Recompute the tables of the capacity page and replace them in the file."""
    slopes = Slopes(json.loads(Path(slopes_path).read_text()))
    usages = [
        estimate_role_usage(slopes, CapacityTarget(), layout)
        for layout in (CURRENT_LAYOUT, PLANNED_LAYOUT)
    ]
    tables = roles_table(usages) + "\n" + limits_table(slopes, CURRENT_LAYOUT)
    page = Path(page_path)
    head, _, rest = page.read_text().partition(BEGIN_MARK)
    _, _, tail = rest.partition(END_MARK)
    page.write_text(f"{head}{BEGIN_MARK}\n\n{tables}\n{END_MARK}{tail}")


if __name__ == "__main__":
    typer.run(main)
