#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review. The project's own ones that they
# use (internal/standin/front and internal/standin/relay) are parts of this program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review3 -o review/stand3/bin/stand3 ./review/stand3
