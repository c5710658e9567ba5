/**
 * Datagrams (notices) in which instances share the loads of endpoints and the answer counts of new versions.
 *
 * <p>{@link baobabcroft.notice.NoticeExchange} sends and receives them; {@link baobabcroft.notice.NoticeDelegate}
 * supplies and consumes their contents. An instance sends its own contents to each instance of its failure domain, and
 * the sum over its failure domain to instances of other ones, so that traffic between failure domains grows linearly
 * with the number of instances and not with its square. A lost datagram can make a routing choice worse, but not
 * incorrect.
 */
package baobabcroft.notice;
