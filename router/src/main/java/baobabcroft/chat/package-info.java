/**
 * The OpenAI-compatible chat protocol: parsing requests, validating complete responses and relaying streamed ones.
 *
 * <p>{@link baobabcroft.chat.ChatBody} is a request body, {@link baobabcroft.chat.ChatCompletion} a complete response,
 * and {@link baobabcroft.chat.SseRelay} relays a streamed response.
 */
package baobabcroft.chat;
