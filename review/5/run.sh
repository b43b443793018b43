#!/bin/sh
cd "$(dirname "$0")" && exec ../bin/5 "$(cd ../.. && pwd)"
