package baobabcroft.acceptance;

import java.util.concurrent.CompletableFuture;

/**
 * A streamed answer whose head has come.
 *
 * @param end the whole answer, or how it was lost; never fails
 */
record OpenStream(CompletableFuture<Reply> end) {}
