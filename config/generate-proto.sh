#!/bin/sh
# Regenerates the committed protobuf code after a change to server/src/main/proto.
set -eu
cd "$(dirname "$0")/.."
case "$(uname -m)" in
  x86_64 | amd64) platform=linux-x86_64 ;;
  aarch64 | arm64) platform=linux-aarch_64 ;;
  *)
    echo "generate-proto.sh: no protoc for $(uname -m)" >&2
    exit 1
    ;;
esac
version=$(sed -n 's|.*<protobuf.version>\(.*\)</protobuf.version>.*|\1|p' pom.xml)
mvn -B -q org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy -N \
  -Dartifact="com.google.protobuf:protoc:$version:exe:$platform" \
  -DoutputDirectory="$PWD/target" -Dmdep.stripVersion=true
protoc=target/protoc-$platform.exe
chmod +x "$protoc"
rm -rf server/src/main/java/org/carobhoist/server/link/proto
"$protoc" --java_out=lite:server/src/main/java \
  -Iserver/src/main/proto server/src/main/proto/*.proto
# The first pass of the formatter moves blank lines beside comments, the second one settles them.
for pass in 1 2; do
  mvn -B -q com.spotify.fmt:fmt-maven-plugin:format -pl server
done
