#!/bin/bash
# Builds the stand-ins and clients that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
