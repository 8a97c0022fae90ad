package io.masticlane.command;

import java.util.ServiceLoader;

import io.masticlane.gateway.Platform;

/**
 * Loads the platform implementation that the executable was built with.
 */
final class PlatformAccess {

	private PlatformAccess() {
	}

	static Platform find() {
		return ServiceLoader.load(Platform.class)
			.findFirst()
			.orElseThrow(() -> new UsageException("got no platform, expected an implementation on the class path"));
	}

}
