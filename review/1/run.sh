#!/bin/sh
# Exits with 1 if a request that may run once ran twice, 0 if none did, 2 if the case
# could not run. TROUBLE=0: the leafs send no late copies.
cd "$(dirname "$0")" && exec python3 case.py
