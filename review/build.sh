#!/bin/sh
# Builds the cases and their stand-ins into review/out. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac -Xlint:all -d review/out review/standin/*.java review/[1-3]/*.java
