package io.masticlane.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.masticlane.client.AsyncClient;
import io.masticlane.operator.OperatorDocuments;

/**
 * Reads JSON documents from the operator addresses of entry hosts.
 */
public final class EntryHostClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final AsyncClient client = new AsyncClient(TIMEOUT);

	/**
	 * Reads a document from all entry hosts in parallel.
	 * @param addresses the operator addresses of the entry hosts
	 * @param path the path of the document
	 * @param type the type of the document
	 * @param <T> the type of the document
	 * @return a response for each address, in the same order
	 */
	public <T> List<Response<T>> read(List<String> addresses, String path, Class<T> type) {
		List<CompletableFuture<Response<T>>> responses = addresses.stream()
			.map((address) -> read(address, path, type))
			.toList();
		return responses.stream().map(CompletableFuture::join).toList();
	}

	private <T> CompletableFuture<Response<T>> read(String address, String path, Class<T> type) {
		return this.client.get(address, path)
			.thenApply((response) -> new Response<>(address, Optional.of(parse(response.body(), type)), ""))
			.exceptionally((failure) -> new Response<>(address, Optional.empty(), reason(failure)));
	}

	private static <T> T parse(byte[] body, Class<T> type) {
		try {
			return OperatorDocuments.read(new String(body, StandardCharsets.UTF_8), type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String reason(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return cause.getClass().getSimpleName();
	}

	/**
	 * The response of one entry host.
	 *
	 * @param address the operator address of the entry host
	 * @param document the document, or empty if it could not be read
	 * @param problem the simple name of the exception, or an empty string if the document
	 * was read
	 * @param <T> the type of the document
	 */
	public record Response<T>(String address, Optional<T> document, String problem) {
	}

}
