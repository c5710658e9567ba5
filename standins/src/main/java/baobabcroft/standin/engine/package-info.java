/**
 * Stand-in of a model engine: a pure model of batching and prefix caching, and an HTTP server with the chat completions
 * API on top of it.
 */
package baobabcroft.standin.engine;
