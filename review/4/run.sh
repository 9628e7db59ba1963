#!/bin/sh
# Exits with 1 if requests that were passed on to sound leafs from kept connections ended
# without an answer more than three times, 0 if not, 2 if the case could not run.
# TROUBLE=0: no leaf hands out wrong bytes.
cd "$(dirname "$0")" && exec python3 case.py
