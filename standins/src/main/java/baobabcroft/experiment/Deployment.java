package baobabcroft.experiment;

import java.util.List;

/**
 * Size and network latencies of a simulated deployment.
 *
 * @param name name of the deployment in results
 * @param regions names of the regions; each has two failure domains
 * @param instances number of router instances
 * @param endpoints number of endpoints
 * @param domainMillis one-way latency between failure domains, in milliseconds
 * @param regionMillis one-way latency between regions, in milliseconds
 * @param clientMillis one-way latency between clients and instances, in milliseconds
 * @param urgentDeadlineMillis deadline of urgent requests, in milliseconds from their arrival
 * @param defaultDeadlineMillis deadline of all other requests, in milliseconds from their arrival
 * @param urgentShare share of urgent requests, from zero to one
 */
record Deployment(
        String name,
        List<String> regions,
        int instances,
        int endpoints,
        double domainMillis,
        double regionMillis,
        double clientMillis,
        double urgentDeadlineMillis,
        double defaultDeadlineMillis,
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

    /**
     * Returns the failure domain of the instance or endpoint with the given index. Consecutive indexes are assigned to
     * different regions, then to the regions' second failure domains.
     */
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
