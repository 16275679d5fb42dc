from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from verbenaplank.settings.agent import AgentSettings
from verbenaplank.settings.checker import check_settings
from verbenaplank.settings.checker import load_settings
from verbenaplank.settings.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

VALID: dict[str, object] = {
    "instance_id": "agent-1",
    "data_centre": "Santa Fe",
    "rpc": {"host": "127.0.0.1", "port": 0},
    "control": [{"instance_id": "control-1", "host": "127.0.0.1", "port": 7000}],
    "backend_server": {"host": "127.0.0.1", "port": 8000, "services": ["draw"]},
}


def test_valid_document_yields_settings_with_defaults() -> None:
    """Guards against optional keys that are required by mistake."""
    settings = check_settings(VALID, AgentSettings, "agent.toml")

    assert settings.backend_server.slots == 8
    assert settings.control[0].address.port == 7000
    assert settings.tls is None


def test_every_fault_is_reported_with_its_place() -> None:
    """Guards against a check that stops at the first fault of a table or array.

    Wrong types, rejected values, missing keys and unknown keys are found by
    different steps, and each step has to continue after the others' faults.
    """
    document = {
        **VALID,
        "instance_id": "",
        "data_centre": 3,
        "rpc": {"host": "", "port": "x"},
        "backend_server": {"host": "h", "port": 1, "services": [1], "slots": -1},
        "control": [{"instance_id": "c", "host": "h", "port": 99_999}, {"zz": 1}],
        "limitss": {},
    }

    with pytest.raises(SettingsError) as error:
        check_settings(document, AgentSettings, "agent.toml")

    places = {finding.place for finding in error.value.findings}
    assert places == {
        "agent.toml: instance_id",
        "agent.toml: data_centre",
        "agent.toml: rpc.host",
        "agent.toml: rpc.port",
        "agent.toml: backend_server.services[0]",
        "agent.toml: backend_server.slots",
        "agent.toml: control[0].port",
        "agent.toml: control[1].instance_id",
        "agent.toml: control[1].host",
        "agent.toml: control[1].port",
        "agent.toml: control[1].zz",
        "agent.toml: limitss",
    }


def test_invalid_toml_is_reported_with_file_and_line(tmp_path: Path) -> None:
    """Guards against a parser error that does not name the settings file."""
    path = tmp_path / "agent.toml"
    path.write_text("instance_id = \n")

    with pytest.raises(SettingsError, match=r"agent\.toml: .*line 1"):
        load_settings(path, AgentSettings)
