#!/bin/bash
# Build the stand-ins of the scripts in review/6 to review/10, after the build
# of the deploy file.  They use the project's object store for tests and its
# line and socket code.
set -e
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p $OUT
FLAGS="-O2 -g -std=gnu11 -Wall -Wextra -Wno-missing-field-initializers -Isrc -Igen -Iplatform"
MODULES="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 yajl libprotobuf-c talloc
    libxxhash gsl libnghttp2"
for program in sync values shapes; do
	gcc $FLAGS $(pkg-config --cflags $MODULES) -o $OUT/$program \
	    review/stand-2/$program.c review/stand-2/db.c \
	    review/stand-2/client.c tests/fake/fakestore.c \
	    target/libbergamotplank.a $(pkg-config --libs $MODULES) \
	    -largtable2 -lm
done
