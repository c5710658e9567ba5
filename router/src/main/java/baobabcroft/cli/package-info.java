/**
 * The command line: {@code serve} and the operators' commands.
 *
 * <p>{@link baobabcroft.cli.CommandLine} is the entry; each command is a {@code Command} of its own.
 */
package baobabcroft.cli;
