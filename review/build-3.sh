#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. Run from the root of the repository.
set -e
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standins-3/*.java
