import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** What a case has started, on loopback addresses of its own and in a temporary folder; ends all of it when closed. */
final class Setup implements AutoCloseable {
    /** Exit status: the rule held. */
    static final int HELD = 0;

    /** Exit status: the rule was broken. */
    static final int BROKEN = 1;

    /** Exit status: the case could not run. */
    static final int NOT_RUN = 2;

    /** Whether the case's disruption is made. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Record record;
    final Store store;
    final List<Instance> instances = new ArrayList<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    private final Path folder;
    private final String net;

    /** A case. Returns its exit status. */
    interface Case {
        int run(Setup setup) throws Exception;
    }

    private Setup(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        net = "127." + random.nextInt(16, 240) + "." + random.nextInt(1, 250) + ".";
        store = new Store(net + 1);
    }

    /** Runs a case in its folder and ends this process with its status. */
    static void main(String caseFolder, Case body) {
        int status = NOT_RUN;
        try (Setup setup = new Setup(Path.of(caseFolder))) {
            Runtime.getRuntime().addShutdownHook(new Thread(setup::endProcesses));
            setup.record.line("trouble %s", TROUBLE);
            status = body.run(setup);
            setup.record.line("exit status %d", status);
        } catch (Throwable failed) {
            failed.printStackTrace();
        }
        System.exit(status);
    }

    /** Starts an instance; each has an address of its own. */
    Instance startInstance(String zone) throws IOException {
        int number = instances.size() + 1;
        Instance instance = new Instance(
                "front-" + zone + "-" + number,
                net + (1 + number),
                zone,
                Path.of("").toAbsolutePath(),
                folder,
                store.address());
        instances.add(instance);
        instance.start();
        record.line("started %s at %s", instance.name, instance.host);
        return instance;
    }

    /** Starts a worker of the first version that is ready. */
    Worker startWorker(String service, String zone, int slots, Worker.Behavior behavior) throws IOException {
        return startWorker(service, zone, "v1", slots, behavior);
    }

    /** Starts a worker of a version that is ready. */
    synchronized Worker startWorker(String service, String zone, String version, int slots, Worker.Behavior behavior)
            throws IOException {
        int number = workers.size();
        Worker worker = new Worker("i-" + number, service, net + (100 + number), zone, version, slots, behavior);
        workers.add(worker);
        worker.register(store, "ready");
        record.line("worker %s of %s %s at %s", worker.id, service, version, worker.address());
        return worker;
    }

    /** Waits until all instances are ready, and then for contact_ms, so that they are in touch. */
    boolean awaitInTouch() throws InterruptedException {
        for (Instance instance : instances) {
            if (!instance.awaitReady(20_000)) {
                record.line("%s is not ready", instance.name);
                return false;
            }
        }
        Thread.sleep(4_200);
        record.line("all instances are in touch");
        return true;
    }

    private void endProcesses() {
        for (Instance instance : instances) {
            try {
                instance.close();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Worker worker : workers) {
            worker.close();
        }
        store.close();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
