package io.masticlane.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import io.masticlane.message.Message;

/**
 * Dispatches each message from a peer to the handler of its type. All handlers must be
 * registered before the first message is dispatched.
 */
public final class MessageRouter {

	private final Map<Class<? extends Message>, BiConsumer<Peer, Message>> handlers = new HashMap<>();

	/**
	 * Registers the handler of a message type.
	 * @param <T> the message type
	 * @param type the message type
	 * @param handler the handler, which is called on the thread that dispatches the
	 * message
	 */
	public <T extends Message> void on(Class<T> type, BiConsumer<Peer, T> handler) {
		this.handlers.put(type, (peer, message) -> handler.accept(peer, type.cast(message)));
	}

	/**
	 * Dispatches a message to its handler. A message without a handler is ignored.
	 * @param peer the sender
	 * @param message the message
	 */
	public void route(Peer peer, Message message) {
		this.handlers.getOrDefault(message.getClass(), (from, ignored) -> {
		}).accept(peer, message);
	}

}
