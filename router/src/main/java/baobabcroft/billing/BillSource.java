package baobabcroft.billing;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Source of bills other than the journals. */
@FunctionalInterface
public interface BillSource {
    /**
     * Returns the bills of this source.
     *
     * @return the bills, or empty if the store did not answer
     */
    CompletionStage<Optional<ImmutableList<Bill>>> read();
}
