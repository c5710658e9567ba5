package baobabcroft.admin;

import java.util.Optional;

/**
 * A request that an operator wants explained.
 *
 * @param account name of the client account
 * @param target model, version, cascade or {@code service/operation} that is asked for
 * @param session the caller's session, if it is in one
 * @param failureDomain failure domain that the request comes in at; the instance's own if empty
 */
public record ExplainQuery(String account, String target, Optional<String> session, Optional<String> failureDomain) {}
