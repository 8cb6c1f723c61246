#!/bin/sh
# Builds the stand-ins that the cases of the second review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-cases-2 ./review/_cases2
