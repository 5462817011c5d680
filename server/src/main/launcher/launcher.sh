#!/bin/sh
# Sets the JVM's flags so that a whole process stays under 128 MB, then becomes the JVM.
unset JAVA_TOOL_OPTIONS JDK_JAVA_OPTIONS _JAVA_OPTIONS
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" \
  -Xms16m -Xmx${CAROBHOIST_HEAP_MB:-40}m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=64m -XX:MaxDirectMemorySize=24m \
  -XX:CICompilerCount=1 -XX:+ExitOnOutOfMemoryError -XX:-UsePerfData -Xshare:auto \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.noUnsafe=false -Dcom.linecorp.armeria.transportType=epoll \
  -Dcom.linecorp.armeria.numCommonWorkers=2 -Djava.net.preferIPv4Stack=true \
  -jar "$0" "$@"
