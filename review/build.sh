#!/bin/sh
# Builds the stand-ins that the cases start: one program a case, from the standard library alone, so that no network is needed.
# The programs under further/ are those that the report names beside the cases.
cd "$(dirname "$0")" || exit 1
export GOFLAGS= GOWORK=off GOPROXY=off GOTOOLCHAIN=local
mkdir -p bin
for n in 1 2 3; do
	go build -o "bin/case$n" "./$n" || exit 1
done
for folder in further/*/; do
	go build -o "bin/further-$(basename "$folder")" "./$folder" || exit 1
done
