#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, beside the program that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
