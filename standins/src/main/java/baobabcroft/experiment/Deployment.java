package baobabcroft.experiment;

import java.util.List;

/**
 * Sizes and latencies of a deployment.
 *
 * @param name the deployment's name
 * @param regions names of its regions; each has two failure domains
 * @param instances count of entry instances
 * @param workers count of model workers
 * @param domainMillis one-way latency between failure domains, in milliseconds
 * @param regionMillis one-way latency between regions, in milliseconds
 * @param clientMillis one-way latency to clients, in milliseconds
 * @param urgentDeadlineMillis deadline of its urgent requests, in milliseconds
 * @param patientDeadlineMillis deadline of its patient requests, in milliseconds
 * @param urgentShare share of urgent requests
 */
record Deployment(
        String name,
        List<String> regions,
        int instances,
        int workers,
        double domainMillis,
        double regionMillis,
        double clientMillis,
        double urgentDeadlineMillis,
        double patientDeadlineMillis,
        double urgentShare) {
    private static final int DOMAINS_PER_REGION = 2;

    static Deployment kovacic() {
        return new Deployment("kovacic", List.of("zagreb", "split", "osijek"), 9, 8, 0.5, 30, 3, 30_000, 60_000, 0.3);
    }

    static Deployment mizukumi() {
        return new Deployment(
                "mizukumi", List.of("fukuoka", "kumamoto", "kagoshima"), 6, 6, 1, 30, 3, 20_000, 40_000, 0.7);
    }

    static Deployment named(String name) {
        return name.equals("mizukumi") ? mizukumi() : kovacic();
    }

    String region(int index) {
        return regions.get(index % regions.size());
    }

    /** Returns the failure domain of the instance or worker with the given index, spread over regions first. */
    String failureDomain(int index) {
        int domain = index / regions.size() % DOMAINS_PER_REGION;
        return region(index) + "-" + (domain + 1);
    }

    List<String> failureDomains() {
        return regions.stream()
                .flatMap(region -> List.of(region + "-1", region + "-2").stream())
                .toList();
    }
}
