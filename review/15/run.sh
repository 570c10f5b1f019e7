#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../support-3/run_case.sh" "$here" forgotten_rest
