#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review with the JDK's compiler. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -d target standins/*.java ./[0-9]*/*.java
