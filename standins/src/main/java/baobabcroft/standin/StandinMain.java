package baobabcroft.standin;

import baobabcroft.experiment.ExperimentCommand;
import baobabcroft.ledger.DaysCommand;
import baobabcroft.ledger.LedgerCommand;
import baobabcroft.load.LoadCommands;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Arrays;
import joptsimple.OptionException;

/** Entry point of the stand-ins executable. */
public final class StandinMain {
    private static final int USAGE_STATUS = 2;
    private static final ImmutableSortedMap<String, Command> COMMANDS =
            ImmutableSortedMap.<String, Command>naturalOrder()
                    .put("all", ServeCommands::all)
                    .put("days", DaysCommand::run)
                    .put("engine", ServeCommands::engine)
                    .put("experiment", ExperimentCommand::run)
                    .put("kv", ServeCommands::keyValue)
                    .put("ledger", LedgerCommand::run)
                    .put("load", LoadCommands::load)
                    .put("overhead", LoadCommands::overhead)
                    .put("live-list", ServeCommands::liveList)
                    .put("rating", ServeCommands::rating)
                    .put("service", ServeCommands::service)
                    .build();

    private StandinMain() {}

    /**
     * Runs the subcommand given as the first argument. Exits with status 2 on invalid arguments.
     *
     * @param args the subcommand's name and its options
     * @throws Exception if the command fails
     */
    public static void main(String[] args) throws Exception {
        Command command = args.length == 0 ? null : COMMANDS.get(args[0]);
        if (command == null) {
            System.err.println("usage: baobabcroft-standins COMMAND [OPTION]...\ncommands: " + COMMANDS.keySet());
            System.exit(USAGE_STATUS);
            return;
        }
        try {
            command.run(Arrays.copyOfRange(args, 1, args.length), System.out);
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println(args[0] + ": " + e.getMessage());
            System.exit(USAGE_STATUS);
        }
    }
}
