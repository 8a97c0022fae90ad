package io.masticlane.event;

import org.tinylog.Logger;

/**
 * Records events.
 */
@FunctionalInterface
public interface EventLog {

	/**
	 * Records an event.
	 * @param event the event
	 * @param arguments the values for the placeholders of the event's text
	 */
	void record(Event event, Object... arguments);

	/**
	 * Writes events to the tinylog logger.
	 */
	final class ForTinylog implements EventLog {

		@Override
		public void record(Event event, Object... arguments) {
			String text = "event=" + event.number() + " " + event.pattern();
			switch (event.severity()) {
				case INFORMATION -> Logger.info(text, arguments);
				case WARNING -> Logger.warn(text, arguments);
				case ERROR -> Logger.error(text, arguments);
			}
		}

	}

	/**
	 * Discards events.
	 */
	enum NoOp implements EventLog {

		/**
		 * The only instance.
		 */
		INSTANCE;

		@Override
		public void record(Event event, Object... arguments) {
		}

	}

}
