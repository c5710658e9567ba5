/**
 * Numbered log events: {@link baobabcroft.log.LogEvent} is the catalogue, {@link baobabcroft.log.EventLog} the logger.
 */
package baobabcroft.log;
