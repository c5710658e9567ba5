/**
 * What operators can ask of a running instance, and the HTTP routes by which they ask it.
 *
 * <p>{@link baobabcroft.admin.AdminOperations} is the port that the instance implements; {@link
 * baobabcroft.admin.AdminRoutes} serves it under {@code /admin/v1}.
 */
package baobabcroft.admin;
