#!/bin/sh
# Sets the JVM's flags, then becomes the JVM. A role's whole process has to stay under 128 MB, and
# it writes no file: I/O and TLS come from the JDK, since native libraries would be unpacked to a
# disk first. The demo runs every role and stand-in in one JVM and gets a larger heap.
unset JAVA_TOOL_OPTIONS JDK_JAVA_OPTIONS _JAVA_OPTIONS
heap_mb=36
initial_mb=8
young_mb=6
direct_mb=24
if [ "${1:-}" = demo ]; then
  heap_mb=256
  initial_mb=128
  young_mb=64
  direct_mb=128
fi
# The C library's memory arenas, one for each thread by default, cost resident memory.
MALLOC_ARENA_MAX=1
export MALLOC_ARENA_MAX
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" \
  "-Xms${initial_mb}m" "-Xmx${CAROBHOIST_HEAP_MB:-$heap_mb}m" "-Xmn${young_mb}m" -Xss256k -XX:+UseSerialGC \
  -XX:MinHeapFreeRatio=10 -XX:MaxHeapFreeRatio=25 \
  -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 -XX:ReservedCodeCacheSize=24m \
  -XX:MaxMetaspaceSize=64m -XX:MetaspaceReclaimPolicy=aggressive \
  "-XX:MaxDirectMemorySize=${direct_mb}m" \
  -XX:+ExitOnOutOfMemoryError -XX:-UsePerfData -Xshare:auto \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.allocator.maxOrder=7 -Dio.netty.noUnsafe=false \
  -Dcom.linecorp.armeria.transportType=nio -Dcom.linecorp.armeria.tlsEngineType=jdk \
  -Dcom.linecorp.armeria.numCommonWorkers=2 -Djava.net.preferIPv4Stack=true \
  -jar "$0" "$@"
