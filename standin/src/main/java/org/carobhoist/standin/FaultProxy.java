package org.carobhoist.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP proxy that injects network faults: it can refuse or close connections, hold traffic back, and
 * drop replies. A fault applies to both directions unless its method says otherwise.
 */
public final class FaultProxy {

  private static final int BUFFER_BYTES = 16_384;

  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Object lock = new Object();
  private ServerSocket listener;
  private boolean frozen;
  private volatile boolean refusing;
  private volatile boolean dropReplies;

  private FaultProxy(InetSocketAddress target) {
    this.target = target;
  }

  /** Creates a proxy that forwards to the given address. */
  public static FaultProxy forTarget(String host, int port) {
    return new FaultProxy(new InetSocketAddress(host, port));
  }

  /** Starts listening on a free loopback port. */
  public void start() throws IOException {
    listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    startThread("accept", this::accept);
  }

  /** Stops listening and closes every connection. */
  public void stop() throws IOException {
    listener.close();
    closeConnections();
    setFrozen(false);
  }

  /** Returns the port on which it listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Closes every connection; new ones are accepted. */
  public void closeConnections() {
    sockets.forEach(FaultProxy::closeQuietly);
    sockets.clear();
  }

  /** Closes all connections and rejects new ones, or accepts them again. */
  public void setRefusing(boolean value) {
    refusing = value;
    if (value) {
      closeConnections();
    }
  }

  /** Holds back all traffic while connections stay open, or forwards it again. */
  public void setFrozen(boolean value) {
    synchronized (lock) {
      frozen = value;
      lock.notifyAll();
    }
  }

  /** Discards all bytes sent by the target, or forwards them again. */
  public void setDropReplies(boolean value) {
    dropReplies = value;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket clientSocket = listener.accept();
        if (refusing) {
          closeQuietly(clientSocket);
          continue;
        }
        connect(clientSocket);
      } catch (SocketException e) {
        return;
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }

  private void connect(Socket clientSocket) {
    Socket targetSocket = new Socket();
    try {
      targetSocket.connect(target);
    } catch (IOException e) {
      closeQuietly(clientSocket);
      return;
    }
    sockets.add(clientSocket);
    sockets.add(targetSocket);
    startThread("up", () -> pump(clientSocket, targetSocket, false));
    startThread("down", () -> pump(targetSocket, clientSocket, true));
  }

  private void pump(Socket from, Socket to, boolean reply) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        awaitThaw();
        if (!(reply && dropReplies)) {
          out.write(buffer, 0, n);
          out.flush();
        }
      }
    } catch (IOException e) {
      closeQuietly(to);
    } finally {
      closeQuietly(from);
      closeQuietly(to);
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private void awaitThaw() {
    synchronized (lock) {
      while (frozen) {
        try {
          lock.wait();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
    }
  }

  private static void startThread(String name, Runnable body) {
    Thread t = new Thread(body, "fault-proxy-" + name);
    t.setDaemon(true);
    t.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is unusable either way.
    }
  }
}
