package baobabcroft.replica;

/** Listener that ignores everything. */
final class SilentListener implements ReplicaListener {
    @Override
    public void onEraStarted(long era) {}

    @Override
    public void onPut(StoreEntry entry) {}

    @Override
    public void onDelete(String key) {}

    @Override
    public void onSnapshotEnd() {}

    @Override
    public void onUnavailable(String reason) {}

    @Override
    public void onAvailable() {}
}
