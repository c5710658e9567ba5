package baobabcroft.serve;

import com.google.common.collect.MapMaker;
import java.net.Socket;
import java.util.Collections;
import java.util.Set;
import org.apache.pekko.io.Inet;

/** The sockets that a listener has accepted, to find out which of them are still open. Thread-safe. */
final class AcceptedSockets extends Inet.AbstractSocketOptionV2 {
    private final Set<Socket> sockets =
            Collections.newSetFromMap(new MapMaker().weakKeys().makeMap());

    @Override
    public void afterConnect(Socket socket) {
        sockets.add(socket);
    }

    /** Returns whether any of the sockets is open; bytes that a closed socket was given have reached the system. */
    boolean anyOpen() {
        return sockets.stream().anyMatch(socket -> !socket.isClosed());
    }
}
