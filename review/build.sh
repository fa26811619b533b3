#!/bin/sh
# Builds the stand-ins of all cases. Needs no network: they use only the standard library.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --locked
