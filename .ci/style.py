#!/usr/bin/env python3
"""Checks house rules that the stable formatter and linter don't: one import a line, test names."""

import pathlib
import re
import subprocess
import sys

faults = []
names = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "*.rs"], check=True, capture_output=True, text=True)
for name in names.stdout.split():
    path = pathlib.Path(name)
    if not path.exists():
        continue
    text = path.read_text()
    is_test = "tests" in path.parts or path.stem == "tests" or "benches" in path.parts
    for number, line in enumerate(text.splitlines(), 1):
        if re.match(r"\s*(pub(\(\w+\))? )?use [^;]*[{*]", line) and not (is_test and "{" not in line):
            faults.append(f"{name}:{number}: more than one import in a line")
    if not is_test and "#[test]" in text:
        faults.append(f"{name}: tests stand in test files")
    for match in re.finditer(r"#\[(?:tokio::)?test[^\]]*\]\s*(?:#\[[^\]]*\]\s*)*(?:async )?fn (\w+)", text):
        if "_" not in match.group(1):
            faults.append(f"{name}: test {match.group(1)} needs a function and a case")
    if not re.match(r"\s*//!", text):
        faults.append(f"{name}: no module doc")
print("\n".join(faults) if faults else "style: clean")
sys.exit(bool(faults))
