/**
 * The OpenAI-compatible chat protocol: reading requests, checking whole answers and relaying streamed ones.
 *
 * <p>Use {@link baobabcroft.chat.ChatBody} for what a caller sent, {@link baobabcroft.chat.ChatAnswer} for an answer
 * that came whole and {@link baobabcroft.chat.SseRelay} for one that is streamed.
 */
package baobabcroft.chat;
