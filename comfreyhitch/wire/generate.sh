#!/bin/sh
# Regenerate the thrift code. Needs the Debian package thrift-compiler;
# the build uses the committed result.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
thrift -r --gen py:slots -out "$out" comfreyhitch.thrift
rm -rf generated
mkdir generated
cp "$out"/comfreyhitch/wire/generated/*.py generated/
rm -rf "$out"
