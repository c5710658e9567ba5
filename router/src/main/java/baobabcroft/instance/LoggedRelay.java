package baobabcroft.instance;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.RelayJournal;
import baobabcroft.relay.RelaySummary;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each decision on a request. */
final class LoggedRelay implements RelayJournal {
    private static final Logger LOG = LoggerFactory.getLogger(LoggedRelay.class);

    private LoggedRelay() {}

    static LoggedRelay create() {
        return new LoggedRelay();
    }

    @Override
    public void sent(String requestId, EndpointEntry endpoint, Optional<String> model, int attempt) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("sent {} {} {} {} {}", requestId, endpoint.id(), endpoint.version(), model.orElse(""), attempt);
        }
    }

    @Override
    public void sendFailed(String requestId, EndpointEntry endpoint, String reason) {
        LOG.info("send_failed {} {} {}", requestId, endpoint.id(), reason);
    }

    @Override
    public void finished(RelaySummary summary) {
        if (!summary.outcome().equals("answered") || summary.sends() > 1) {
            LOG.info("finished {}", summary);
        }
    }
}
