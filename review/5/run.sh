#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../run-case.sh" two-waves "$folder"
