package org.carobhoist.server.gateway.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import org.carobhoist.core.store.StoredRecord;
import org.carobhoist.server.link.proto.Hello;
import org.carobhoist.server.link.proto.LinkFrame;
import org.carobhoist.server.link.proto.NodeRecord;

/** A peer that accepts connections one by one and sends its hello only when the test does so. */
final class RawPeer implements AutoCloseable {

  /** Time limit for connections and frames; far longer than they take, even on a busy machine. */
  static final Duration TIMEOUT = Duration.ofSeconds(60);

  private final String name;
  private final ServerSocket acceptor;

  RawPeer(String name) throws IOException {
    this.name = name;
    this.acceptor = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
    acceptor.setSoTimeout((int) TIMEOUT.toMillis());
  }

  /** Returns the record by which other processes find this peer. */
  StoredRecord record(long offset) {
    NodeRecord node =
        NodeRecord.newBuilder()
            .setAddress("127.0.0.1:" + acceptor.getLocalPort())
            .setZone("a")
            .setIncarnation(name + "-1")
            .build();
    return new StoredRecord(offset, name, node.toByteArray());
  }

  /** Accepts the next connection. */
  Socket accept() throws IOException {
    Socket socket = acceptor.accept();
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    return socket;
  }

  void sayHello(Socket socket) throws IOException {
    Hello hello =
        Hello.newBuilder().setInstance(name).setIncarnation(name + "-1").setProtocol(1).build();
    byte[] frame = LinkFrame.newBuilder().setHello(hello).build().toByteArray();
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(frame.length);
    out.write(frame);
  }

  /** Returns whether a ping is received before the connection ends. */
  static boolean receivesPing(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    try {
      for (LinkFrame frame = read(in); !frame.hasPing(); frame = read(in)) {
        continue;
      }
      return true;
    } catch (EOFException | SocketException e) {
      return false;
    }
  }

  private static LinkFrame read(DataInputStream in) throws IOException {
    return LinkFrame.parseFrom(in.readNBytes(in.readInt()));
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }
}
