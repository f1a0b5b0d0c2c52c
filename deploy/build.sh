#!/bin/sh
# Puts the pinned libraries and the workspace's packages under target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install -q -r deploy/requirements.txt --target "$deps"
  touch "$deps/.installed"
fi
for source in packages/core/src packages/sidecar/src platform/src; do
  cp -R "$source/." "$deps/"
done
python3 -m compileall -q "$deps"
