package baobabcroft.soak;

import baobabcroft.standin.platform.EndpointObserver;
import baobabcroft.standin.platform.PlatformEndpointStandin;
import baobabcroft.standin.platform.PlatformStoreStandin;
import baobabcroft.testing.FreePorts;
import com.google.common.collect.ConcurrentHashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The processes of a run, the stand-ins around them and the links between. Thread-safe. */
final class Rig implements AutoCloseable {
    private static final String SERVICE = "work";
    private static final PlatformEndpointStandin.Capacity CAPACITY = new PlatformEndpointStandin.Capacity(8, 16, 40);
    private static final int TOLERATED_REJECTIONS = 3;
    private static final long FALL_MILLIS = 3_000;
    /** Time between two configurations of a series. */
    private static final long SERIES_INTERVAL_MILLIS = 330;

    private static final int MAX_OTHER_ROUTES = 1_500;
    private static final String EVACUATION_PREFIX = "op/evacuate/";

    private final LongSupplier nowMillis;
    private final long originNanos;
    private final Plant plant;
    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final PlatformStoreStandin store;
    private final List<PlatformEndpointStandin> endpoints = new ArrayList<>();
    private final List<InstanceProcess> instances = new ArrayList<>();
    private final List<List<LinkProxy>> linksByInstance = new ArrayList<>();
    private final List<LinkProxy> storeLinks = new ArrayList<>();
    private final Map<Integer, Integer> instanceBySenderPort = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> fallsMillis = new ConcurrentLinkedQueue<>();
    private final Scheduling scheduling;
    private int configurations;
    private int withdrawals;
    private int regionLimits;
    /** Orders to evacuate, by failure domain, with the number of disturbances that want them. */
    private final Multiset<String> evacuations = ConcurrentHashMultiset.create();

    private int otherRoutes;
    private boolean writesSeries;

    /** Runs a task once after some time. */
    @FunctionalInterface
    interface Scheduling {
        void schedule(long delayMillis, Runnable task);
    }

    Rig(SoakOptions options, int endpointCount, Path directory, long originNanos, Scheduling scheduling)
            throws IOException {
        this.originNanos = originNanos;
        this.nowMillis = () -> millis(System.nanoTime());
        this.plant = options.plant();
        this.scheduling = scheduling;
        this.store = PlatformStoreStandin.start();
        FreePorts ports = new FreePorts();
        for (int i = 0; i < endpointCount; i++) {
            PlatformEndpointStandin endpoint =
                    PlatformEndpointStandin.start(Placement.endpointId(i), ports.next(), CAPACITY, new Recorder());
            endpoints.add(endpoint);
            if (plant == Plant.SILENT_STATEMENTS) {
                endpoint.withholdStatements();
            }
        }
        for (int i = 0; i < options.instances(); i++) {
            instances.add(createInstance(i, options, directory, ports));
        }
        registerAll();
        instances.forEach(InstanceProcess::start);
    }

    /**
     * Creates an instance and its links. All instances list the endpoints by the same names, as they tell one another
     * of them; each resolves these to its own links.
     */
    private InstanceProcess createInstance(int number, SoakOptions options, Path directory, FreePorts ports)
            throws IOException {
        List<LinkProxy> links = new ArrayList<>();
        StringBuilder hosts = new StringBuilder("127.0.0.1 localhost\n");
        for (int i = 0; i < endpoints.size(); i++) {
            String address = "127.1." + number + "." + (i + 1);
            hosts.append(address).append(' ').append(hostOf(endpoints.get(i))).append('\n');
            links.add(new LinkProxy(
                    group,
                    address,
                    endpoints.get(i).port(),
                    LinkProxy.UNLIMITED,
                    sender -> instanceBySenderPort.put(sender, number)));
        }
        linksByInstance.add(links);
        Path hostsFile = Files.writeString(directory.resolve("hosts-" + number), hosts);
        return new InstanceProcess(
                number,
                options.jar(),
                directory,
                hostsFile,
                new InstanceProcess.Ports(ports.next(), ports.next(), ports.next(), ports.nextPair()),
                storeLink(number, options));
    }

    /** Returns the address at which an instance reaches the store, over a link with a rate. */
    private HostAndPort storeLink(int number, SoakOptions options) {
        String address = "127.3." + number + ".1";
        int port = store.address().getPort();
        storeLinks.add(new LinkProxy(group, address, port, options.storeMegabitsPerSecond(), sender -> {}));
        return HostAndPort.fromParts(address, port);
    }

    private static String hostOf(PlatformEndpointStandin endpoint) {
        return endpoint.id() + ".soak";
    }

    private long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - originNanos);
    }

    private final class Recorder implements EndpointObserver {
        @Override
        public void onExchange(Exchange exchange) {
            boolean isOrder = exchange.ran() && plant == Plant.DOUBLE_RUN;
            boolean isRejection = !exchange.ran() && plant == Plant.FALSE_NOT_RUN;
            Arrival arrival = new Arrival(
                    exchange.endpoint(),
                    exchange.start(),
                    exchange.requestId(),
                    instanceBySenderPort.getOrDefault(exchange.senderPort(), -1),
                    millis(exchange.arrivedNanos()),
                    exchange.answeredNanos().isPresent()
                            ? OptionalLong.of(millis(exchange.answeredNanos().getAsLong()))
                            : OptionalLong.empty(),
                    exchange.ran() || isRejection,
                    exchange.statement());
            arrivals.add(arrival);
            if (isOrder) {
                arrivals.add(arrival);
            }
        }

        @Override
        public void onFall(String endpoint) {
            fallsMillis.add(nowMillis.getAsLong());
            PlatformEndpointStandin fallen = endpoints.stream()
                    .filter(one -> one.id().equals(endpoint))
                    .findFirst()
                    .orElseThrow();
            scheduling.schedule(0, fallen::crash);
            scheduling.schedule(FALL_MILLIS, () -> restart(fallen));
        }
    }

    private void restart(PlatformEndpointStandin endpoint) {
        endpoint.restart();
        register(endpoint, "ready");
    }

    private void register(PlatformEndpointStandin endpoint, String state) {
        String failureDomain = Placement.failureDomainOf(endpoint.id()).orElseThrow();
        store.put("servers/" + endpoint.id(), endpoint.entry(SERVICE, state, hostOf(endpoint), failureDomain));
    }

    /** Writes what operators and endpoints have in the store; they do so again when it has returned from a copy. */
    private void registerAll() {
        configure();
        endpoints.forEach(endpoint -> register(endpoint, "ready"));
        evacuations.elementSet().forEach(this::orderEvacuation);
    }

    private void orderEvacuation(String failureDomain) {
        if (plant != Plant.LOST_ORDERS) {
            store.put(EVACUATION_PREFIX + failureDomain, "{}");
        }
    }

    private synchronized void beginEvacuation(Fault fault) {
        fault.endpoints().stream().map(Placement::failureDomain).forEach(failureDomain -> {
            evacuations.add(failureDomain);
            orderEvacuation(failureDomain);
        });
    }

    private synchronized void endEvacuation(Fault fault) {
        fault.endpoints().stream().map(Placement::failureDomain).forEach(failureDomain -> {
            evacuations.remove(failureDomain);
            if (!evacuations.contains(failureDomain)) {
                store.remove(EVACUATION_PREFIX + failureDomain);
            }
        });
    }

    long originNanos() {
        return originNanos;
    }

    private synchronized void configure() {
        configurations++;
        store.put(
                "op/config",
                Configuration.text(configurations, SERVICE, withdrawals > 0, regionLimits > 0, otherRoutes));
    }

    private synchronized void withdraw(int change) {
        withdrawals += change;
        configure();
    }

    private synchronized void limitRegions(int change) {
        regionLimits += plant == Plant.LOST_ORDERS ? 0 : change;
        configure();
    }

    private synchronized void beginSeries(Fault fault) {
        otherRoutes = (int) (MAX_OTHER_ROUTES * fault.strength());
        writesSeries = true;
        continueSeries();
    }

    private synchronized void continueSeries() {
        if (writesSeries) {
            configure();
            scheduling.schedule(SERIES_INTERVAL_MILLIS, this::continueSeries);
        }
    }

    private synchronized void endSeries() {
        writesSeries = false;
        otherRoutes = 0;
        configure();
    }

    List<InstanceProcess> instances() {
        return instances;
    }

    ImmutableList<Arrival> arrivals() {
        return ImmutableList.copyOf(arrivals);
    }

    ImmutableList<Long> fallsMillis() {
        return ImmutableList.copyOf(fallsMillis);
    }

    /** Begins a disturbance. */
    void begin(Fault fault) {
        switch (fault.kind()) {
            case INSTANCE_KILL -> each(fault, InstanceProcess::kill);
            case INSTANCE_STOP -> each(fault, instance -> instance.signal("TERM"));
            case INSTANCE_FREEZE -> each(fault, instance -> instance.signal("STOP"));
            case LINK_CUT, LINK_RESET -> eachLink(fault, link -> link.cut(fault.kind() == FaultKind.LINK_RESET));
            case STORE_DOWN -> store.down(true);
            case KEY_WITHDRAWN -> withdraw(1);
            case EVACUATION -> beginEvacuation(fault);
            case REGIONS_LIMITED -> limitRegions(1);
            case CONFIG_SERIES -> beginSeries(fault);
            case STORE_COPY -> returnFromCopy(fault);
            case ENDPOINT_CRASH -> eachEndpoint(fault, PlatformEndpointStandin::crash);
            case ENDPOINT_SILENCE -> eachEndpoint(fault, endpoint -> endpoint.fallSilent(fault.forMillis()));
            case ENDPOINT_PAUSE -> eachEndpoint(fault, endpoint -> endpoint.pause(fault.forMillis()));
            case ENDPOINT_LIMIT -> {
                String perSecond = Integer.toString(1 + (int) (fault.strength() * 12));
                eachEndpoint(fault, endpoint -> endpoint.stateLimit(perSecond));
            }
            case ENDPOINT_BRITTLE ->
                eachEndpoint(fault, endpoint -> endpoint.stateBrittle(OptionalInt.of(TOLERATED_REJECTIONS)));
            case ENDPOINT_LEAVING -> eachEndpoint(fault, PlatformEndpointStandin::stateLeaving);
            case BURST -> {}
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    /** Ends a disturbance. */
    void end(Fault fault) {
        switch (fault.kind()) {
            case INSTANCE_KILL -> each(fault, InstanceProcess::start);
            case INSTANCE_STOP ->
                each(fault, instance -> {
                    instance.awaitExit();
                    instance.start();
                });
            case INSTANCE_FREEZE -> each(fault, instance -> instance.signal("CONT"));
            case LINK_CUT, LINK_RESET -> eachLink(fault, LinkProxy::heal);
            case STORE_DOWN -> store.down(false);
            case KEY_WITHDRAWN -> withdraw(-1);
            case EVACUATION -> endEvacuation(fault);
            case REGIONS_LIMITED -> limitRegions(-1);
            case CONFIG_SERIES -> endSeries();
            case ENDPOINT_CRASH, ENDPOINT_LEAVING -> eachEndpoint(fault, this::restart);
            case ENDPOINT_LIMIT -> eachEndpoint(fault, PlatformEndpointStandin::stateNoLimit);
            case ENDPOINT_BRITTLE -> eachEndpoint(fault, endpoint -> endpoint.stateBrittle(OptionalInt.empty()));
            case STORE_COPY, ENDPOINT_SILENCE, ENDPOINT_PAUSE, BURST -> {}
            default -> throw new IllegalArgumentException(fault.toString());
        }
    }

    private void returnFromCopy(Fault fault) {
        PlatformStoreStandin.Copy copy = store.copy();
        scheduling.schedule(fault.forMillis(), () -> {
            store.returnFrom(copy);
            registerAll();
        });
    }

    private void each(Fault fault, Consumer<InstanceProcess> action) {
        fault.instances().forEach(number -> action.accept(instances.get(number)));
    }

    private void eachLink(Fault fault, Consumer<LinkProxy> action) {
        fault.instances().forEach(number -> linksByInstance.get(number).forEach(action));
    }

    private void eachEndpoint(Fault fault, Consumer<PlatformEndpointStandin> action) {
        fault.endpoints().forEach(number -> action.accept(endpoints.get(number)));
    }

    @Override
    public void close() {
        instances.forEach(InstanceProcess::close);
        linksByInstance.forEach(links -> links.forEach(LinkProxy::close));
        storeLinks.forEach(LinkProxy::close);
        endpoints.forEach(PlatformEndpointStandin::close);
        store.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
