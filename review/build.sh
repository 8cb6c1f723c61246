#!/bin/sh
# Builds the stand-ins that the scripts start: one program with a command for each case.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/cases ./review/_cases
