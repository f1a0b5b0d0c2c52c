#!/bin/sh
# Builds the stand-ins that the scripts start. They need nothing but Python's
# standard library, and none of the project's own stand-ins is started.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
