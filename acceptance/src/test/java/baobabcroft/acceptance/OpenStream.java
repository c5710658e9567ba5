package baobabcroft.acceptance;

import java.util.concurrent.CompletableFuture;

/**
 * Streamed response whose headers have arrived.
 *
 * @param completion completes with the whole response, or with a lost reply if the connection breaks; never fails
 */
record OpenStream(CompletableFuture<Reply> completion) {}
