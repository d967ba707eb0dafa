"""Tests of the settings file that the platform writes."""

from __future__ import annotations

from pathlib import Path

import pytest

from wasabiramp.platform.node import load_node_settings

VALID_SETTINGS = """nodeName = "edge-1"
ip = "10.0.0.1"
zone = "z"
portRange = [7720,7735]
unknownField = 5
advice = "10.0.0.9:80"
[listenAddrs]
front = "10.0.0.1:8161"
ready = "10.0.0.1:8167"
control = "10.0.0.1:8166"
[limits]
cpuShare = 0.537
cores = 2
[bounds]
holdMaxMs = 6000
configMs = 2000
[platform]
address = "10.0.0.7:8169"
ttlMinMs = 1000
"""


class TestNode:
    """A valid file gives settings; for an invalid one, the error names the field."""

    def test_valid_file(self, tmp_path: Path) -> None:
        path = tmp_path / "node.toml"
        path.write_text(VALID_SETTINGS)
        settings = load_node_settings(path).ok
        assert settings.peer_address == "10.0.0.1:7720"
        assert settings.metrics_address == "10.0.0.1:7735"
        assert settings.lease_limit_s == 6.0
        assert settings.power == pytest.approx(1.074)

    @pytest.mark.parametrize(
        ("old", "new", "field"),
        [
            ('nodeName = "edge-1"', "", "nodeName"),
            ("portRange = [7720,7735]", "portRange = [7720]", "portRange"),
            ("holdMaxMs = 6000", 'holdMaxMs = "long"', "bounds.holdMaxMs"),
            ('front = "10.0.0.1:8161"', 'front = "here"', "listenAddrs.front"),
            ('address = "10.0.0.7:8169"', "", "platform.address"),
        ],
    )
    def test_invalid_field_is_named(self, tmp_path: Path, old: str, new: str, field: str) -> None:
        path = tmp_path / "node.toml"
        path.write_text(VALID_SETTINGS.replace(old, new))
        assert field in load_node_settings(path).error

    def test_file_that_is_not_toml(self, tmp_path: Path) -> None:
        path = tmp_path / "node.toml"
        path.write_text("= 5")
        assert "cannot be read" in load_node_settings(path).error

    def test_missing_environment_variable(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.delenv("WASABIRAMP_NODE_FILE", raising=False)
        assert "WASABIRAMP_NODE_FILE" in load_node_settings().error
