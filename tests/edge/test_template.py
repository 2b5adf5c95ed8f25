"""Tests of the settings template that the platform fills in for each daemon."""

from __future__ import annotations

import re
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from edge_cluster import BINARY

TEMPLATE = Path(__file__).resolve().parent.parent.parent / "deploy" / "settings.yaml.in"


def test_template_limits_what_a_daemon_buffers_for_endless_answers() -> None:
    """Without the host's memory there is no budget, and one endpoint can fill the memory.

    review/other/memory and review/other/upload show it with real processes.
    """
    assert re.search(r"^memory_limit: \{\{limits\.memoryMb\}\}$", TEMPLATE.read_text(), re.MULTILINE)


VALUES = {
    "node": "edge-a-1", "zone": "a", "ip": "127.0.0.1", "portRange": [7380, 7395],
    "listen": {"front": "127.0.0.1:8149", "ready": "127.0.0.1:8141"},
    "platform": {"address": "127.0.0.1:8142"},
    "limits": {"cpuShare": 0.25, "maxFds": 4100, "memoryMb": 260},
    "bounds": {"graceS": 8, "drainMs": 2000, "leaseMs": 3000, "retryBudgetRatio": 0.2,
               "budgetSlack": 54, "budgetWindowS": 10, "ceilingWindowS": 5, "ceilingOverage": 1.1,
               "failClosed": True, "revokeMs": 3000, "quotaWindowS": 5, "quotaOverage": 1.1,
               "quotaSlack": 400},
}


def fill_in(template: str, values: dict[str, Any]) -> str:
    """Fills a template in as the platform does, as far as this one uses it."""
    def look_up(name: str) -> Any:
        value: Any = values
        for key in name.split("."):
            value = value[int(key)] if isinstance(value, list) else value.get(key)
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda match: match[2] if look_up(match[1]) else "", template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: "" if look_up(match[1]) is None else str(look_up(match[1])), text)


def check_settings(values: dict[str, Any]) -> str:
    """Returns what the daemon has against the filled-in template, or nothing."""
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(fill_in(TEMPLATE.read_text(), values))
        file.flush()
        result = subprocess.run([BINARY, "edge", "--settings", file.name, "--check"],
                                capture_output=True, text=True, check=False)
        return result.stderr if result.returncode else ""


def test_template_starts_a_daemon_whatever_form_the_figures_have() -> None:
    """Guards against a daemon that ends at each start, by a figure with a fraction or a missing one."""
    assert check_settings(VALUES) == ""
    for group in ("limits", "bounds"):
        for name, value in VALUES[group].items():
            if value is True:
                continue
            for other in (float(value), value + 0.5, None):
                changed = {**VALUES, group: {**VALUES[group], name: other}}
                assert check_settings(changed) == "", (group, name, other)
