package baobabcroft.admin;

import java.util.Optional;

/**
 * Description of a request whose routing decision an operator asks for.
 *
 * @param account name of the client account
 * @param target name of the requested model, version, cascade or {@code service/operation}
 * @param session name of the caller's session; empty for a request without a session
 * @param failureDomain failure domain in which the request arrives; if empty, that of the instance
 */
public record ExplainQuery(String account, String target, Optional<String> session, Optional<String> failureDomain) {}
