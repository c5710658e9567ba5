/**
 * Shares of client accounts in services whose endpoints are full. While there is room, every request is admitted. When
 * there is none, the requests of accounts above their weighted max-min share are refused, the farthest above first and
 * less urgent ones before more urgent ones of the same account. The uses of accounts are summed over all instances by
 * their notices. The design is in docs/design/scarce-capacity.md.
 */
package baobabcroft.fairness;
