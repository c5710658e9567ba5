package baobabcroft.fairness;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Names a client account at a service in notices. Accounts whose hashes collide share what one of them would get.
 *
 * @param hash hash of the names of the service and of the account
 */
public record AccountSubject(int hash) {
    /**
     * Returns the name of an account at a service.
     *
     * @param service name of the service
     * @param account name of the account; empty for requests without one
     * @return the subject
     */
    public static AccountSubject of(String service, String account) {
        return new AccountSubject(Hashing.murmur3_32_fixed()
                .newHasher()
                .putString(service, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(account, StandardCharsets.UTF_8)
                .hash()
                .asInt());
    }
}
