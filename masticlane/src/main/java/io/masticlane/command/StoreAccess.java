package io.masticlane.command;

import java.time.Duration;
import java.util.concurrent.ForkJoinPool;

import io.masticlane.platform.ConfigurationEnvelope;
import io.masticlane.platform.EtcdStore;
import io.masticlane.platform.Store;
import joptsimple.OptionParser;

/**
 * The flags by which operators' commands reach the store.
 */
final class StoreAccess {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final Store store;

	private final String key;

	private StoreAccess(Store store, String key) {
		this.store = store;
		this.key = key;
	}

	static void declare(OptionParser parser) {
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

	Store store() {
		return this.store;
	}

	String key() {
		return this.key;
	}

}
