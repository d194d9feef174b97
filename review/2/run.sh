#!/bin/sh
# A machine joins; its tenants' limits are then granted by two coordinators.
# TROUBLE=0: the same load without the new machine.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
