package io.masticlane.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticlane.configuration.EntryHost;

/**
 * Asks entry hosts at their operators' addresses which revision they have in force.
 */
final class EntryHostStatuses {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(TIMEOUT)
		.build();

	List<Status> of(List<EntryHost> hosts) {
		List<CompletableFuture<Status>> asked = hosts.stream().map(this::ask).toList();
		return asked.stream().map(CompletableFuture::join).toList();
	}

	private CompletableFuture<Status> ask(EntryHost host) {
		URI uri = URI.create("http://" + host.operatorAddress() + "/status");
		return this.client
			.sendAsync(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofByteArray())
			.orTimeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.handle((response, failure) -> new Status(host,
					(failure != null) ? OptionalLong.empty() : revision(response.body())));
	}

	private static OptionalLong revision(byte[] body) {
		try {
			return OptionalLong.of(MAPPER.readTree(body).path("revision").asLong());
		}
		catch (IOException ex) {
			return OptionalLong.empty();
		}
	}

	/**
	 * What an entry host told.
	 *
	 * @param host the entry host
	 * @param revision the revision that it has in force, or nothing if it did not answer
	 */
	record Status(EntryHost host, OptionalLong revision) {

		boolean confirms(long expected) {
			return this.revision.isPresent() && this.revision.getAsLong() >= expected;
		}

		String text() {
			String found = this.revision.isPresent() ? "has revision " + this.revision.getAsLong() : "does not answer";
			return this.host.name() + " at " + this.host.operatorAddress() + " " + found;
		}

	}

}
