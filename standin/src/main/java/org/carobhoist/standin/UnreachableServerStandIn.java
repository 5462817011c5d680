package org.carobhoist.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Stand-in for a server on a machine that has lost its power: connections to it are neither
 * established nor refused. It accepts none and fills its queue of pending ones, so that the kernel
 * drops further attempts.
 */
public final class UnreachableServerStandIn {

  private static final int BACKLOG = 1;

  /** Far above the time in which a connection on the loopback interface is established. */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private final ServerSocket socket;
  private final List<Socket> pending = new ArrayList<>();

  private UnreachableServerStandIn(ServerSocket socket) {
    this.socket = socket;
  }

  /** Starts a server to which no further connection can be established. */
  public static UnreachableServerStandIn start() throws IOException {
    UnreachableServerStandIn server =
        new UnreachableServerStandIn(
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()));
    server.fillBacklog();
    return server;
  }

  private void fillBacklog() {
    boolean established = true;
    while (established) {
      Socket client = new Socket();
      pending.add(client);
      try {
        client.connect(
            new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort()),
            CONNECT_TIMEOUT_MILLIS);
      } catch (IOException e) {
        established = false;
      }
    }
  }

  /** Returns the address in the form {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Closes the socket and all connections. */
  public void stop() {
    try {
      for (Socket client : pending) {
        client.close();
      }
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
