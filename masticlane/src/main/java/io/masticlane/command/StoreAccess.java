package io.masticlane.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ForkJoinPool;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.ConfigurationException;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.EtcdStore;
import io.masticlane.store.Store;
import joptsimple.OptionParser;

/**
 * The store that operators' commands use, and the flags that select it.
 */
final class StoreAccess {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final Store store;

	private final String key;

	private StoreAccess(Store store, String key) {
		this.store = store;
		this.key = key;
	}

	static void declareOptions(OptionParser parser) {
		parser.accepts("store-address", "The address of the platform's store. Environment: MASTICLANE_STORE_ADDRESS")
			.withRequiredArg()
			.describedAs("address");
		parser.accepts("store-prefix", "The prefix of every key in the store. Environment: MASTICLANE_STORE_PREFIX")
			.withRequiredArg()
			.describedAs("string");
	}

	static StoreAccess of(Arguments arguments) {
		Store store = new EtcdStore(arguments.address("store-address", "MASTICLANE_STORE_ADDRESS"), TIMEOUT,
				ForkJoinPool.commonPool());
		String prefix = arguments.valueOr("store-prefix", "MASTICLANE_STORE_PREFIX", "masticlane/");
		return new StoreAccess(store, prefix + ConfigurationEnvelope.KEY);
	}

	/**
	 * Reads the file given as the argument of the command.
	 * @param arguments the arguments
	 * @return the document, not yet validated
	 * @throws IOException if the file cannot be read
	 */
	static byte[] readDocument(Arguments arguments) throws IOException {
		String name = arguments.singleArgument("the file of the printed configuration");
		Path file = Path.of(name);
		if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
			throw new UsageException("FILE: got '" + name + "', expected a file that can be read");
		}
		if (Files.size(file) > ConfigurationDocument.MAXIMUM_BYTES) {
			throw new UsageException("FILE: got " + Files.size(file) + " bytes, expected at most "
					+ ConfigurationDocument.MAXIMUM_BYTES + " bytes");
		}
		return Files.readAllBytes(file);
	}

	/**
	 * Decodes the configuration in an entry of the store.
	 * @param entry the entry
	 * @return the configuration, or empty if the document is invalid
	 */
	static Optional<Configuration> decodeIfValid(Store.Entry entry) {
		try {
			return Optional.of(ConfigurationEnvelope.decode(entry.value()).configuration());
		}
		catch (ConfigurationException ex) {
			return Optional.empty();
		}
	}

	Store store() {
		return this.store;
	}

	String key() {
		return this.key;
	}

}
