package io.masticlane.command;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.masticlane.configuration.EntryHost;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.Store;
import joptsimple.OptionParser;

/**
 * The flags by which operators' commands locate the entry hosts.
 */
final class FleetAccess {

	static final String USAGE = "(--store-address ADDRESS | --operator-addresses ADDRESSES)";

	private FleetAccess() {
	}

	static void declareOptions(OptionParser parser) {
		StoreAccess.declareOptions(parser);
		parser
			.accepts("operator-addresses",
					"The operators' addresses of the entry hosts, separated by commas; "
							+ "the default is the addresses in the configuration in the store.")
			.withRequiredArg()
			.describedAs("addresses");
	}

	static List<String> operatorAddresses(Arguments arguments) {
		Optional<String> given = arguments.value("operator-addresses");
		if (given.isPresent()) {
			return Arrays.stream(given.get().split(",")).map(String::trim).toList();
		}
		StoreAccess access = StoreAccess.of(arguments);
		Optional<Store.Entry> entry = access.store().read(access.key()).join();
		return entry
			.map((found) -> ConfigurationEnvelope.decode(found.value())
				.configuration()
				.entryHosts()
				.stream()
				.map(EntryHost::operatorAddress)
				.toList())
			.orElseThrow(() -> new UsageException("the store holds no configuration; give --operator-addresses"));
	}

}
