#!/usr/bin/env bash
# Builds what the cases' scripts start beside the product: one program that holds the stand-ins of
# store, engines and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
