/**
 * Memory that the requests of an instance take up together: {@link baobabcroft.memory.MemoryBudget}, and the bytes
 * of one request or answer: {@link baobabcroft.memory.BodyBuffer}.
 */
package baobabcroft.memory;
