package io.masticlane.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import io.masticlane.message.Message;

/**
 * Hands each message from a peer to the handler of its type. All handlers are registered
 * before the first message.
 */
public final class MessageRouter {

	private final Map<Class<? extends Message>, BiConsumer<Peer, Message>> handlers = new HashMap<>();

	/**
	 * Registers the handler of a type of message.
	 * @param <T> the type of message
	 * @param type the type of message
	 * @param handler the handler, which is called on the decisions' thread
	 */
	public <T extends Message> void on(Class<T> type, BiConsumer<Peer, T> handler) {
		this.handlers.put(type, (peer, message) -> handler.accept(peer, type.cast(message)));
	}

	/**
	 * Hands a message to its handler; a message without one is ignored.
	 * @param peer the sender
	 * @param message the message
	 */
	public void route(Peer peer, Message message) {
		this.handlers.getOrDefault(message.getClass(), (from, ignored) -> {
		}).accept(peer, message);
	}

}
