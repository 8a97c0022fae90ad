#!/bin/sh
exec java ${MASTICLANE_JAVA_OPTIONS:--Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=4} -jar "$0" "$@"
