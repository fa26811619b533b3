#!/bin/sh
# Builds the stand-ins of the cases 6 and higher. They use the standard library alone, so no network is needed.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --offline --locked
