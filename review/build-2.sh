#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/classes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2/classes
javac -d target/review-2/classes review/standins-2/*.java
