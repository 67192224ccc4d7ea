#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption; SEED chooses what is drawn (1 without it).
cd "$(dirname "$0")" || exit 2
exec python3 play.py
