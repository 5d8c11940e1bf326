#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/6 and later into target/review-2. It needs a JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-home.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn --release 21 -d target/review-2 review/standin-2/*.java
