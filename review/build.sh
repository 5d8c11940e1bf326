#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into target/review; bin/build-deploy comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-home.sh
mkdir -p target/review
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review review/standin/*.java
