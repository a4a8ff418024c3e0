#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/ ./review/standin
