#!/usr/bin/env bash
exec "$(dirname "$0")/../stand/run.sh" 6
