"""Tests of the settings schema."""

from __future__ import annotations

from pathlib import Path

import pytest

from wasabiramp.settings.schema import load_settings, parse_settings

VALID_SETTINGS = {
    "instance": "entry-1",
    "zone": "shubra",
    "api_address": "127.0.0.1:7070",
    "peer_address": "127.0.0.1:7071",
    "store_address": "127.0.0.1:7000",
    "instance_list_address": "127.0.0.1:7001",
}


class TestSettings:
    """Valid settings are accepted; the error of invalid ones names the field."""

    def test_defaults(self) -> None:
        assert parse_settings(VALID_SETTINGS, "file").ok.right_s == 2.0

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("instance", "../etc"),
            ("instance", 5),
            ("api_address", "localhost"),
            ("api_address", "127.0.0.1:99999"),
            ("right_s", -1),
            ("right_s", "soon"),
            ("right_s", 0.5),
            ("suspect_s", 0.5),
            ("queue_limit", 0),
            ("queue_limit", 2.5),
            ("colour", "green"),
        ],
    )
    def test_invalid_field_is_named(self, field: str, value: object) -> None:
        parsed = parse_settings({**VALID_SETTINGS, field: value}, "cell.yaml")
        assert parsed.is_error()
        assert parsed.error.startswith(f"cell.yaml: {field}: ")

    def test_missing_field_is_named(self) -> None:
        parsed = parse_settings({**VALID_SETTINGS, "zone": None}, "cell.yaml")
        assert "zone" in parsed.error

    def test_unreadable_file(self, tmp_path: Path) -> None:
        path = tmp_path / "bad.yaml"
        path.write_text("a: [", encoding="utf-8")
        assert str(path) in load_settings(path).error
