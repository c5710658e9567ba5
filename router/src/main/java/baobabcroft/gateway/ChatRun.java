package baobabcroft.gateway;

import baobabcroft.chat.ChatBody;
import baobabcroft.limit.AccountUsage;

/**
 * A chat request on its way.
 *
 * @param caller who sent it
 * @param body what was sent
 * @param usage its hold on the account's limits
 */
record ChatRun(CallerRequest caller, ChatBody body, AccountUsage usage) {}
