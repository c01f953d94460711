#!/usr/bin/env bash
cd "$(dirname "$0")" && . ../run-case.sh second_copy
