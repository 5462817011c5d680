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
 * A TCP proxy that causes faults: it can refuse, cut, freeze and drop what passes through it. Both
 * directions are alike unless a switch names one.
 */
public final class FaultProxy {

  private static final int BUFFER_BYTES = 16_384;

  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Object gate = new Object();
  private ServerSocket listener;
  private boolean frozen;
  private volatile boolean refusing;
  private volatile boolean dropReplies;

  private FaultProxy(InetSocketAddress target) {
    this.target = target;
  }

  /** Returns a proxy before the given address. */
  public static FaultProxy before(String host, int port) {
    return new FaultProxy(new InetSocketAddress(host, port));
  }

  /** Starts listening on a free loopback port. */
  public void start() throws IOException {
    listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    thread("accept", this::accept);
  }

  /** Stops listening and cuts every connection. */
  public void stop() throws IOException {
    listener.close();
    cut();
    setFrozen(false);
  }

  /** Returns the port on which it listens. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Cuts every connection; new ones go through. */
  public void cut() {
    sockets.forEach(FaultProxy::closeQuietly);
    sockets.clear();
  }

  /** Refuses new connections, and cuts those there are, or lets them through again. */
  public void setRefusing(boolean value) {
    refusing = value;
    if (value) {
      cut();
    }
  }

  /** Holds every byte back, with connections open, or lets them go on. */
  public void setFrozen(boolean value) {
    synchronized (gate) {
      frozen = value;
      gate.notifyAll();
    }
  }

  /** Swallows every byte that comes back from the target, or lets them through again. */
  public void setDropReplies(boolean value) {
    dropReplies = value;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        if (refusing) {
          closeQuietly(near);
          continue;
        }
        connect(near);
      } catch (SocketException e) {
        return;
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }

  private void connect(Socket near) {
    Socket far = new Socket();
    try {
      far.connect(target);
    } catch (IOException e) {
      closeQuietly(near);
      return;
    }
    sockets.add(near);
    sockets.add(far);
    thread("up", () -> pump(near, far, false));
    thread("down", () -> pump(far, near, true));
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
    synchronized (gate) {
      while (frozen) {
        try {
          gate.wait();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
    }
  }

  private static void thread(String name, Runnable body) {
    Thread t = new Thread(body, "fault-proxy-" + name);
    t.setDaemon(true);
    t.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is gone either way.
    }
  }
}
