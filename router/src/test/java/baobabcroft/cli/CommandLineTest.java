package baobabcroft.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.admin.AdminTestServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

final class CommandLineTest {
    private static final String RULES = "failure-domain a region=x # ann: first\n";
    private static final String OTHER_RULES = "failure-domain a region=y # ann: second\n";

    @TempDir
    Path dir;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<String> served = new ArrayList<>();
    private final CommandLine commandLine = CommandLine.create(
            settings -> {
                served.add(settings.instance().name());
                return 0;
            },
            "1.0.0");

    private int run(String... args) {
        out.reset();
        err.reset();
        PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
        PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
        return commandLine.run(args, new Streams(outStream, errStream));
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(dir.resolve(name), text).toString();
    }

    @Nested
    final class Usage {
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                textBlock =
                        """
                ruls check             | did you mean 'rules check'?
                rules chekc            | did you mean 'rules check'?
                rules                  | 'rules' needs a subcommand: rules check, rules diff
                statsu                 | did you mean 'status'?
                --json status          | the command comes before its options
                rules check            | wrong number of arguments
                rules check a b        | wrong number of arguments
                serve                  | settings
                status                 | admin
                rules check a --jsno   | jsno
                rules diff a           | cannot be read
                trace r-1              | at least one log file
                trace --account kamera a.log | --account and --at together
                trace --account kamera --at noon a.log | cannot be read
                trace r-1 none.log     | cannot be read
                status --admin x --admin-key-file pom.xml | --admin is 'x'
                rules show x --admin http://127.0.0.1:1 --admin-key-file pom.xml | number is 'x'
                """)
        void reportsUsageErrors(String line, String problem) {
            int status = run(line.split(" ", -1));
            assertTrue(err().contains(problem), err());
            assertEquals(problem.equals("cannot be read") ? 1 : 2, status);
        }

        static Stream<Command> commands() {
            return CommandLine.create(settings -> 0, "").commands().stream();
        }

        @ParameterizedTest
        @MethodSource("commands")
        void everyCommandHasHelp(Command command) {
            List<String> args = new ArrayList<>(Arrays.asList(command.fullName().split(" ", -1)));
            args.add("--help");
            assertEquals(0, run(args.toArray(new String[0])), err());
            assertTrue(out().contains(command.help()));
        }

        @Test
        void overviewListsCommandsAndExitCodes() {
            assertEquals(0, run("--help"));
            assertTrue(out().contains("rules rollback NUMBER"));
            assertTrue(out().contains("5  the change is stored"));
        }

        @Test
        void showsTheVersion() {
            run("--version");
            assertEquals("baobabcroft 1.0.0", out().strip());
        }

        @Test
        void documentationHoldsTheTables() throws IOException {
            String commands = commands()
                    .map(command -> "| `%s` | %s |\n"
                            .formatted((command.fullName() + " " + command.usage()).strip(), command.summary()))
                    .collect(Collectors.joining());
            String codes = Arrays.stream(ExitCode.values())
                    .map(code -> "| %d | %s |\n".formatted(code.status(), code.meaning()))
                    .collect(Collectors.joining());
            String page = Files.readString(Path.of("..", "docs", "COMMANDS.md"));
            assertTrue(page.contains(commands), commands);
            assertTrue(page.contains(codes), codes);
        }
    }

    @Nested
    final class Trace {
        private String log() throws IOException {
            return file(
                    "north-1.log",
                    """
                    {"timestamp":5000,"message":"BC7001 request sent request=r-9 endpoint=e-1 attempt=1"}
                    {"timestamp":5900,"message":"BC7003 request finished request=r-9 account=kamera outcome=lost"}
                    {"timestamp":5901,"mess
                    """);
        }

        @Test
        void tracesARequestAndCountsDamagedLines() throws IOException {
            assertEquals(0, run("trace", "r-9", log()), err());
            assertTrue(out().contains("cause   lost"), out());
            assertTrue(err().contains("1 damaged lines skipped"), err());
        }

        @Test
        void findsRequestsByAccountAndTime() throws IOException {
            assertEquals(0, run("trace", "--account", "kamera", "--at", "1970-01-01T00:00:06Z", log()), err());
            assertTrue(out().contains("request r-9"), out());
        }

        @Test
        void printsJson() throws IOException {
            assertEquals(0, run("trace", "r-9", "--json", log()), err());
            assertTrue(out().contains("\"request\""), out());
        }

        @Test
        void reportsThatNoLineNamesTheRequest() throws IOException {
            assertEquals(3, run("trace", "r-1", log()));
            assertTrue(err().contains("no line of request r-1"), err());
        }
    }

    @Nested
    final class Offline {
        @Test
        void checksAValidFile() {
            assertEquals(0, run("rules", "check", "../examples/mizukumi/mizukumi.rules"));
            assertTrue(out().contains("no fault"));
        }

        @Test
        void listsFaultsWithTheirPositions() throws IOException {
            String file = file("bad.rules", "failure-domain a regoin=x # ann: first\n");
            assertEquals(1, run("rules", "check", file));
            assertTrue(out().contains(file + ":1:18: unknown failure-domain key 'regoin'"), out());
            assertTrue(out().contains("did you mean 'region'?"), out());
        }

        @Test
        void listsFaultsAsJson() throws IOException {
            run("rules", "check", file("bad.rules", "failure-domain a regoin=x # ann: first\n"), "--json");
            assertTrue(out().startsWith("{\"rules\":0,\"faults\":[{\"line\":1,"), out());
        }

        @Test
        void comparesTwoFiles() throws IOException {
            assertEquals(0, run("rules", "diff", file("old", RULES), file("new", OTHER_RULES)));
            assertTrue(out().startsWith("~ failure-domain a region=x->y"), out());
        }

        @Test
        void servesOnlyWithValidSettings() throws IOException {
            assertEquals(0, run("serve", "--settings", "../examples/kovacic/instance-2.json"));
            assertEquals(1, run("serve", "--settings", file("bad.json", "{}")));
            assertEquals(List.of("kovacic-2"), served);
        }

        @Test
        void reportsThatNoInstanceResponds() throws IOException {
            String key = file("key", AdminTestServer.KEY);
            assertEquals(4, run("status", "--admin", "http://127.0.0.1:1", "--admin-key-file", key));
            assertTrue(err().contains("no answer from http://127.0.0.1:1"), err());
        }
    }

    @Nested
    final class WithAnInstance {
        private AdminTestServer server;
        private String key;

        @BeforeEach
        void start() throws Exception {
            server = new AdminTestServer();
            key = file("key", AdminTestServer.KEY + "\n");
        }

        @AfterEach
        void stop() {
            server.close();
        }

        private int runWithAdmin(String... args) {
            List<String> all = new ArrayList<>(Arrays.asList(args));
            all.addAll(List.of("--admin", server.url().toString(), "--admin-key-file", key));
            return run(all.toArray(new String[0]));
        }

        private int apply(String file, String... more) {
            List<String> all = new ArrayList<>(List.of("rules", "apply", file, "--comment", "why"));
            all.addAll(Arrays.asList(more));
            return runWithAdmin(all.toArray(new String[0]));
        }

        @Test
        void updatesTheBaseNumberOfAnEditedFileAfterApply() throws IOException {
            assertEquals(0, apply(file("first.rules", RULES), "--base", "0"), err());
            String file = dir.resolve("mine.rules").toString();
            assertEquals(0, runWithAdmin("rules", "show", "--out", file));
            assertEquals("# base: 1\n" + RULES, Files.readString(Path.of(file)));
            Files.writeString(Path.of(file), "# base: 1\n" + OTHER_RULES);
            assertEquals(0, apply(file));
            assertEquals("# base: 2\n" + OTHER_RULES, Files.readString(Path.of(file)));
            assertEquals(0, runWithAdmin("rules", "show", "1"));
            assertEquals("# base: 1\n" + RULES, out());
        }

        @Test
        void conflictingApplyShowsChangesMadeByOthers() throws IOException {
            apply(file("first.rules", RULES), "--base", "0");
            apply(file("second.rules", "# base: 1\n" + OTHER_RULES));
            String late = file("late.rules", "# base: 1\n" + RULES);
            assertEquals(3, apply(late));
            assertTrue(err().contains("~ failure-domain a region=x->y"), err());
            assertEquals("# base: 1\n" + RULES, Files.readString(Path.of(late)));
        }

        @Test
        void rejectsAFileWithoutABase() throws IOException {
            assertEquals(2, apply(file("first.rules", RULES)));
            assertTrue(err().contains("--base NUMBER"), err());
        }

        @Test
        void exitsWith5UntilAllInstancesConfirm() throws IOException {
            server.operations().setMissing("i-3");
            assertEquals(5, apply(file("first.rules", RULES), "--base", "0"));
            assertTrue(out().contains("not confirmed by i-3"), out());
        }

        @Test
        void warnsThatAChangeMayBeStoredIfTheStoreIsUnavailable() throws IOException {
            server.operations().setStoreUnavailable(true);
            assertEquals(4, apply(file("first.rules", RULES), "--base", "0"));
            assertTrue(err().contains("failed: no answer [store_unavailable, may have run]"), err());
        }

        @Test
        void rollsBackAndListsTheHistory() throws IOException {
            apply(file("first.rules", RULES), "--base", "0");
            apply(file("second.rules", OTHER_RULES), "--base", "1");
            assertEquals(0, runWithAdmin("rules", "rollback", "1"));
            assertEquals(3, runWithAdmin("rules", "rollback", "9"));
            assertEquals(3, runWithAdmin("rules", "rollback", "1", "--base", "2"));
            assertEquals(0, runWithAdmin("rules", "history"));
            assertTrue(out().startsWith("     3  1970-01-01T00:00:03Z  ann"), out());
        }

        @Test
        void comparesAFileWithTheRulesInForce() throws IOException {
            apply(file("first.rules", RULES), "--base", "0");
            assertEquals(0, runWithAdmin("rules", "diff", file("second.rules", OTHER_RULES)));
            assertTrue(out().startsWith("~ failure-domain a region=x->y"), out());
        }

        @Test
        void explainsARequest() {
            assertEquals(0, runWithAdmin("explain", "web-shop", "film small", "--session", "s 1&x"));
            assertTrue(out().contains("session    s 1&x"), out());
            assertTrue(out().contains("version:   film small@1"), out());
        }

        @Test
        void showsTheStatus() {
            assertEquals(0, runWithAdmin("status"));
            assertTrue(out().contains("instance   i-1 in zagreb-a: serving, 3 open requests"), out());
            assertTrue(out().contains("version    film-small@2: stopped (errors)"), out());
        }

        @Test
        void drains() {
            assertEquals(0, runWithAdmin("drain", "--json"));
            assertEquals("{\"openRequests\":3,\"remainingMillis\":5000}", out().strip());
        }

        @Test
        void isRejectedWithAnUnknownKey() throws IOException {
            file("key", "wrong");
            assertEquals(3, runWithAdmin("status"));
            assertTrue(err().contains("unknown_operator"), err());
        }
    }
}
