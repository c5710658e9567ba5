/**
 * The command line: {@code serve} and the operators' commands.
 *
 * <p>{@link baobabcroft.cli.CommandLine} is the entry point; each command is described by one {@code Command}.
 */
package baobabcroft.cli;
