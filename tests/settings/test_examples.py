from __future__ import annotations

from pathlib import Path

import pytest

from verbenaplank.console.commands.settings import settings_type_of
from verbenaplank.settings.checker import load_settings

EXAMPLES = Path(__file__).parents[2] / "docs" / "examples"


@pytest.mark.parametrize("name", ["agent.toml", "control.toml", "entry.toml"])
def test_example_has_no_faults(name: str) -> None:
    """Guards against example files that no longer match the settings classes."""
    path = EXAMPLES / name

    settings = load_settings(path, settings_type_of(path))

    assert settings.instance_id
