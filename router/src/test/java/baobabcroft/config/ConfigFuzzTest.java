package baobabcroft.config;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.config.ConfigFuzzModel.Variant;
import com.google.common.base.Throwables;
import java.util.Random;
import java.util.function.ObjIntConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies random faults and changes to real nodes in virtual time.
 *
 * <p>{@code -Dconfig.fuzz.steps} sets the maximum number of actions in a run, {@code -Dconfig.fuzz.chains} the number
 * of additional runs, and {@code -Dconfig.fuzz.seed} the seed of these.
 */
class ConfigFuzzTest {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigFuzzTest.class);
    private static final String SEED = "20261204";
    private static final int MAX_STEPS = Integer.getInteger("config.fuzz.steps", 30);
    private static final long DELAY_SEED = Long.getLong("config.fuzz.seed", 1);
    private static final int MAX_CHOICE = 59;
    private static final int BROKEN_TRIES = 200;

    @Property(tries = 40, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void acceptedChangesAreInForceAndNeverRevert(@ForAll("chains") ActionChain<ConfigFuzzModel> chain) {
        chain.run().finish();
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void omittedRuleIsDetected(@ForAll("broken") Variant variant) {
        Throwable detected = assertThrows(Throwable.class, () -> runSome(variant, BROKEN_TRIES, Long.parseLong(SEED)));

        String message = Throwables.getRootCause(detected).getMessage();
        assertTrue(message.contains("accepts work under number"), message);
    }

    /** Runs {@code -Dconfig.fuzz.chains} chains from {@code -Dconfig.fuzz.seed} on; a few by default. */
    @Example
    void additionalRunsSatisfyTheInvariants() {
        int accepted = runSome(Variant.NONE, Integer.getInteger("config.fuzz.chains", 5), DELAY_SEED);

        assertTrue(accepted > 0);
    }

    private static int runSome(Variant variant, int count, long seed) {
        RandomGenerator<ActionChain<ConfigFuzzModel>> generator =
                chains(variant).generator(1_000);
        Random random = new Random(seed);
        int accepted = 0;
        for (int i = 0; i < count; i++) {
            ConfigFuzzModel model = generator.next(random).value().run();
            model.finish();
            accepted += model.acceptedChanges();
        }
        LOG.info("{} chains, {} changes accepted", count, accepted);
        return accepted;
    }

    @Provide
    Arbitrary<Variant> broken() {
        return Arbitraries.of(Variant.ACCEPTED_WHEN_WRITTEN, Variant.NO_FRESHNESS_CHECK, Variant.MAJORITY_OF_REACHABLE);
    }

    @Provide
    Arbitrary<ActionChain<ConfigFuzzModel>> chains() {
        return chains(Variant.NONE);
    }

    private static Arbitrary<ActionChain<ConfigFuzzModel>> chains(Variant variant) {
        return ActionChain.startWith(() -> new ConfigFuzzModel(variant, DELAY_SEED))
                .withAction(8, action("advance", (model, choice) -> model.advance(100L * (choice + 1))))
                .withAction(4, action("propose", (model, choice) -> model.propose(choice, 0)))
                .withAction(2, action("race", ConfigFuzzTest::race))
                .withAction(1, action("propose stale", (model, choice) -> model.propose(choice, 1)))
                .withAction(2, action("restart", ConfigFuzzModel::restart))
                .withAction(1, action("kill", ConfigFuzzModel::kill))
                .withAction(1, action("replace", ConfigFuzzModel::replace))
                .withAction(2, action("freeze", ConfigFuzzModel::freeze))
                .withAction(2, action("thaw", ConfigFuzzModel::thaw))
                .withAction(2, action("isolate", ConfigFuzzModel::isolate))
                .withAction(1, action("cut from store", ConfigFuzzModel::cutFromStore))
                .withAction(1, action("split", (model, choice) -> model.split(1 + choice % 4)))
                .withAction(2, action("heal", (model, choice) -> model.cluster.healAll()))
                .withAction(2, action("store down", (model, choice) -> model.cluster.store.setDown(true)))
                .withAction(2, action("store up", (model, choice) -> model.cluster.store.setDown(false)))
                .withAction(
                        1, action("lose replies", (model, choice) -> model.cluster.store.loseReplies(1 + choice % 3)))
                .withAction(
                        1, action("delay write", (model, choice) -> model.cluster.store.delayWrites(1, 50L * choice)))
                .withAction(
                        1, action("slow store", (model, choice) -> model.cluster.store.setLatencyMillis(20L * choice)))
                .withMaxTransformations(MAX_STEPS);
    }

    private static void race(ConfigFuzzModel model, int choice) {
        model.propose(choice, 0);
        model.propose(choice + 1, 0);
    }

    private static Action<ConfigFuzzModel> action(String name, ObjIntConsumer<ConfigFuzzModel> effect) {
        return (Action.Independent<ConfigFuzzModel>) () -> Arbitraries.integers()
                .between(0, MAX_CHOICE)
                .map(choice -> Transformer.mutate(name + " " + choice, model -> effect.accept(model, choice)));
    }
}
