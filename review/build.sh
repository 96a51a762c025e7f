#!/bin/sh
# Builds the stand-ins of the cases.  Needs gcc and a C library.
set -e
cd "$(dirname "$0")"
mkdir -p build
gcc -std=gnu11 -O2 -g -Wall -Wextra -pthread -o build/stand stand/stand.c stand/cases.c
