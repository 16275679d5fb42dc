"""Computes the tables of docs/CAPACITY.md from the measured slopes.

``python -m verbenaplank.bench.capacity docs/slopes.json docs/CAPACITY.md``
replaces the text between the page's two marks.
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

BEGIN = "<!-- computed tables: begin -->"
END = "<!-- computed tables: end -->"


def main(slopes_path: str, page_path: str) -> None:
    """Renew the tables of the page."""
    slopes = Slopes(json.loads(Path(slopes_path).read_text()))
    uses = [
        estimate_role_usage(slopes, CapacityTarget(), layout)
        for layout in (CURRENT_LAYOUT, PLANNED_LAYOUT)
    ]
    tables = roles_table(uses) + "\n" + limits_table(slopes, CURRENT_LAYOUT)
    page = Path(page_path)
    head, _, rest = page.read_text().partition(BEGIN)
    _, _, tail = rest.partition(END)
    page.write_text(f"{head}{BEGIN}\n\n{tables}\n{END}{tail}")


if __name__ == "__main__":
    typer.run(main)
