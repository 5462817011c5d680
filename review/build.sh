#!/bin/sh
# Builds the stand-ins of the cases. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -d review/target review/standin/*.java
