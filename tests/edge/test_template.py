"""Tests of the settings template that the platform fills in for each daemon."""

from __future__ import annotations

import re
from pathlib import Path

TEMPLATE = Path(__file__).resolve().parent.parent.parent / "deploy" / "settings.yaml.in"


def test_template_limits_what_a_daemon_buffers_for_endless_answers() -> None:
    """Without the host's memory there is no budget, and one endpoint can fill the memory.

    review/other/memory and review/other/upload show it with real processes.
    """
    assert re.search(r"^memory_limit: \{\{limits\.memoryMb\}\}$", TEMPLATE.read_text(), re.MULTILINE)
