#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start; to be run after deploy/build. Needs a JDK only.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir target
javac -d target *.java
