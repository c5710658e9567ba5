package baobabcroft.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds unused ports below the system's ephemeral range, so that no client connection takes them. Not thread-safe. */
public final class FreePorts {
    private static final int LOWEST = 15_000;
    private static final int HIGHEST = 30_000;

    private final Set<Integer> returnedPorts = new HashSet<>();

    /**
     * Returns an unused port that was not returned before.
     *
     * @return the port, unused on the loopback interface at present
     */
    public int next() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
            if (!returnedPorts.contains(port) && isFree(port)) {
                returnedPorts.add(port);
                return port;
            }
        }
    }

    /**
     * Returns the first of two adjacent unused ports that were not returned before.
     *
     * @return the lower port
     */
    public int nextPair() {
        while (true) {
            int port = next();
            if (!returnedPorts.contains(port + 1) && isFree(port + 1)) {
                returnedPorts.add(port + 1);
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
