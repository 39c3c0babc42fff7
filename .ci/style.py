#!/usr/bin/env python3
"""Checks house rules that the stable formatter and linter don't: one import a line, test
names, the platform's words in platform/ alone, a body in each commit."""

import pathlib
import re
import subprocess
import sys

# Words of the users' platform, which platform/ alone may know.
PLATFORM_WORDS = re.compile(r"hemlockwind-(hop|server|attempt|expect|not-run|token|deadline-ms:|tenant)|api/(objects|report|order|ready)|apiKeys|pathPrefix|storeRevision", re.I)
# The last commit before bodies were asked for.
BODIES_SINCE = "62399db"

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
    if path.parts[0] != "platform" and PLATFORM_WORDS.search(text):
        word = PLATFORM_WORDS.search(text).group(0)
        faults.append(f"{name}: {word} is a word of the platform; platform/ alone knows it")
    if not re.match(r"\s*//!", text):
        faults.append(f"{name}: no module doc")
log = subprocess.run(
    ["git", "log", "--no-merges", "--format=%h%x00%b%x01", f"{BODIES_SINCE}..HEAD"], capture_output=True, text=True
)
# Where the history isn't there, nothing can be said of it.
for entry in log.stdout.split("\x01") if log.returncode == 0 else []:
    commit, _, body = entry.strip().partition("\x00")
    if commit and not body.strip():
        faults.append(f"commit {commit} has no body")
print("\n".join(faults) if faults else "style: clean")
sys.exit(bool(faults))
