#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain Python, standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib ./*/run.py
