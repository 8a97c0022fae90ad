package io.masticlane.store;

import java.io.IOException;
import java.util.concurrent.Flow;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A watch of the JSON gateway of etcd version 3, which streams one JSON document per
 * line.
 */
final class EtcdWatch implements Store.Watch, Flow.Subscriber<String> {

	private static final int OK = 200;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Store.WatchListener listener;

	private Flow.Subscription subscription;

	private boolean ended;

	EtcdWatch(Store.WatchListener listener) {
		this.listener = listener;
	}

	@Override
	public synchronized void close() {
		this.ended = true;
		if (this.subscription != null) {
			this.subscription.cancel();
		}
	}

	@Override
	public synchronized void onSubscribe(Flow.Subscription newSubscription) {
		this.subscription = newSubscription;
		if (this.ended) {
			newSubscription.cancel();
		}
		else {
			newSubscription.request(Long.MAX_VALUE);
		}
	}

	@Override
	public void onNext(String line) {
		try {
			JsonNode result = MAPPER.readTree(line).path("result");
			if (result.path("canceled").asBoolean()) {
				end("cancelled by the store");
				return;
			}
			StreamSupport.stream(result.path("events").spliterator(), false)
				.filter((event) -> !event.path("type").asText().equals("DELETE"))
				.map((event) -> EtcdStore.entry(event.path("kv")))
				.forEach(this.listener::keyWritten);
		}
		catch (IOException | IllegalArgumentException ex) {
			end("malformed: " + ex.getMessage());
		}
	}

	@Override
	public void onError(Throwable failure) {
		end(failure.toString());
	}

	@Override
	public void onComplete() {
		end("closed by the store");
	}

	void responseReceived(int status, Throwable failure) {
		if (failure != null) {
			end(failure.toString());
		}
		else if (status != OK) {
			end("response with status " + status);
		}
	}

	private void end(String reason) {
		boolean notify;
		synchronized (this) {
			notify = !this.ended;
		}
		close();
		if (notify) {
			this.listener.watchEnded(reason);
		}
	}

}
