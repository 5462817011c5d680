#!/bin/sh
# Regenerates the committed protobuf code after a change to server/src/main/proto.
set -eu
cd "$(dirname "$0")/.."
version=$(sed -n 's|.*<protobuf.version>\(.*\)</protobuf.version>.*|\1|p' pom.xml)
mvn -B -q org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy -N \
  -Dartifact="com.google.protobuf:protoc:$version:exe:linux-x86_64" \
  -DoutputDirectory="$PWD/target" -Dmdep.stripVersion=true
chmod +x target/protoc-linux-x86_64.exe
rm -rf server/src/main/java/org/carobhoist/server/link/proto
target/protoc-linux-x86_64.exe --java_out=lite:server/src/main/java \
  -Iserver/src/main/proto server/src/main/proto/*.proto
mvn -B -q com.spotify.fmt:fmt-maven-plugin:format -pl server
