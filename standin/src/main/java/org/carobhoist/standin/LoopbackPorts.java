package org.carobhoist.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out loopback ports for processes that are started later. They lie below the range from
 * which the operating system picks the ports of outgoing connections, and each JVM begins at a
 * place of its own, so that neither a connection nor another JVM's tests take a port between its
 * choice and its use.
 */
public final class LoopbackPorts {

  private static final int FIRST = 10_000;
  private static final int COUNT = 22_000;
  private static final int STRIDE = 331;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % COUNT));

  private LoopbackPorts() {}

  /** Returns a port that is free now and that this JVM won't hand out again soon. */
  public static int next() {
    for (int i = 0; i < COUNT; i++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
      if (isFree(port)) {
        return port;
      }
    }
    throw new IllegalStateException("no free port");
  }

  /** Returns the first of two free ports that follow each other. */
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
