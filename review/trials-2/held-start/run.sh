#!/usr/bin/env bash
# Runs the trial; see note.txt. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../../run-case-2.sh" held-start "$folder"
