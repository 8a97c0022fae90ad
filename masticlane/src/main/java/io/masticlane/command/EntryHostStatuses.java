package io.masticlane.command;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticlane.client.AsyncClient;
import io.masticlane.configuration.EntryHost;

/**
 * Queries the revision that entry hosts have in force at their operators' addresses.
 */
final class EntryHostStatuses {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final AsyncClient client = new AsyncClient(TIMEOUT);

	List<Status> query(List<EntryHost> hosts) {
		List<CompletableFuture<Status>> requests = hosts.stream().map(this::queryStatus).toList();
		return requests.stream().map(CompletableFuture::join).toList();
	}

	private CompletableFuture<Status> queryStatus(EntryHost host) {
		return this.client.get(host.operatorAddress(), "/status")
			.handle((response, failure) -> new Status(host,
					(failure != null) ? OptionalLong.empty() : parseRevision(response.body())));
	}

	private static OptionalLong parseRevision(byte[] body) {
		try {
			return OptionalLong.of(MAPPER.readTree(body).path("revision").asLong());
		}
		catch (IOException ex) {
			return OptionalLong.empty();
		}
	}

	/**
	 * The response of an entry host.
	 *
	 * @param host the entry host
	 * @param revision the revision that it has in force, or empty if there was no valid
	 * response
	 */
	record Status(EntryHost host, OptionalLong revision) {

		boolean confirms(long expectedRevision) {
			return this.revision.isPresent() && this.revision.getAsLong() >= expectedRevision;
		}

		String describe() {
			String state = this.revision.isPresent() ? "has revision " + this.revision.getAsLong() : "does not answer";
			return this.host.name() + " at " + this.host.operatorAddress() + " " + state;
		}

	}

}
