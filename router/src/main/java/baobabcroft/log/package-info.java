/**
 * Numbered log events: {@link baobabcroft.log.LogEvent} is the catalogue, {@link baobabcroft.log.EventLog} writes it.
 */
package baobabcroft.log;
