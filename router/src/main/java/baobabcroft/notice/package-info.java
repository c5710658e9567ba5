/**
 * What instances tell each other in datagrams: loads of endpoints and answers of new versions.
 *
 * <p>{@link baobabcroft.notice.NoticeExchange} sends and receives; {@link baobabcroft.notice.NoticeDelegate} is what
 * is told and heard. Instances of one failure domain tell each other all; to other failure domains each tells the sum
 * of its own, so that what crosses grows with the number of instances and not with its square. A datagram that is lost
 * makes a choice worse and nothing wrong.
 */
package baobabcroft.notice;
