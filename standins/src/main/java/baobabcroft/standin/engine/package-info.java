/**
 * Stand-in for a model engine: a deterministic simulation of batching and prefix caching, and an HTTP server that
 * exposes it through the chat completions API.
 */
package baobabcroft.standin.engine;
