#!/bin/sh
# Build the stand-ins that the cases 6 to 9 start. They are Python programs, so that it is enough to
# compile them and to see that they find the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q comfreyhitch review || exit 1
PYTHONPATH="target/deps:." python3 -c "
import comfreyhitch.testing.platform
import comfreyhitch.testing.platform_target
import review.fleet2
"
