/** Helpers of the tests of all modules. */
package baobabcroft.testing;
