/**
 * The administration API of an instance: its operations, and the HTTP routes that expose them to operators.
 *
 * <p>{@link baobabcroft.admin.AdminOperations} is the interface that the instance implements; {@link
 * baobabcroft.admin.AdminRoutes} serves it under {@code /admin/v1}.
 */
package baobabcroft.admin;
