package baobabcroft.billing;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** A place that bills are read from, besides the journals. */
@FunctionalInterface
public interface BillSource {
    /**
     * Reads the bills.
     *
     * @return the bills, or empty if the store did not answer
     */
    CompletionStage<Optional<ImmutableList<Bill>>> read();
}
