#!/usr/bin/env bash
# Compiles the stand-ins and drivers of the cases. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/common/*.java
