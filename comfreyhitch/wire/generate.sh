#!/bin/sh
# Regenerate the Thrift code in generated/. This needs the Debian package thrift-compiler;
# builds use the committed code and do not run this script.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
thrift -r --gen py:slots -out "$out" comfreyhitch.thrift
rm -rf generated
mkdir generated
cp "$out"/comfreyhitch/wire/generated/*.py generated/
rm -rf "$out"
