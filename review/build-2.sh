#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf stand-ins-2/target
mkdir -p stand-ins-2/target
javac -Xlint:all -d stand-ins-2/target stand-ins-2/*.java
