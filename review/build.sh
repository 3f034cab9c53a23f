#!/usr/bin/env bash
# Compiles the stand-ins of the cases with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "$0")"
jdk=$(../bin/find-java)
rm -rf target
mkdir -p target
"$jdk/bin/javac" -Xlint:-options -d target standin/*.java
