package io.masticlane.command;

import java.util.ServiceLoader;

import io.masticlane.gateway.Platform;

/**
 * Finds the platform that the executable was built with.
 */
final class PlatformAccess {

	private PlatformAccess() {
	}

	static Platform find() {
		return ServiceLoader.load(Platform.class)
			.findFirst()
			.orElseThrow(() -> new UsageException("got a build without a platform, expected one on the class path"));
	}

}
