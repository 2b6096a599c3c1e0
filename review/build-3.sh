#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 with the JDK alone. The project itself is built by deploy/build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/lib-3/target
javac --release 17 -Xlint:-options -d review/lib-3/target review/lib-3/src/*.java
