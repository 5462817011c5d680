package org.carobhoist.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports for processes that are started later. The ports lie below the ephemeral
 * port range of the operating system, and each JVM starts its search at a different port. Otherwise
 * an outgoing connection or a test in another JVM could bind a port between its allocation and its
 * use.
 */
public final class LoopbackPorts {

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 22_000;
  private static final int STRIDE = 331;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % PORT_COUNT));

  private LoopbackPorts() {}

  /** Returns a free port that this JVM hasn't allocated recently. */
  public static int next() {
    for (int i = 0; i < PORT_COUNT; i++) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port");
  }

  /** Returns the first of two consecutive free ports. */
  public static int nextPair() {
    int port = next();
    int following = next();
    while (following != port + 1) {
      port = following;
      following = next();
    }
    return port;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
