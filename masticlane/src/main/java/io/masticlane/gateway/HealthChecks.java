package io.masticlane.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.masticlane.client.ClientCall;
import io.masticlane.client.ResponseListener;
import io.masticlane.event.Event;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.ServicePlan;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Checks backend servers while the store does not respond. A server that becomes cold
 * reports so in its entry and in its responses to health checks, but not in those to
 * requests. Only servers that receive more requests than a cold one may are checked.
 */
final class HealthChecks {

	/**
	 * The time after which a health check has failed. A check waits for a slot of the
	 * server like a request.
	 */
	private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final GatewayContext gateway;

	private final ViewFreshness freshness;

	private final Map<ServerState, Check> pending = new HashMap<>();

	private Map<String, ServicePlan> services = Map.of();

	HealthChecks(GatewayContext gateway, ViewFreshness freshness) {
		this.gateway = gateway;
		this.freshness = freshness;
	}

	/**
	 * Begins and ends the checks as the store requires, and ends those that failed.
	 * @param now the current time in nanoseconds
	 */
	void update(long now) {
		this.services = this.freshness.isStoreOverdue() ? checkedServices() : Map.of();
		this.gateway.placement()
			.setOutdatedServices(this.freshness.areServersOutdated() ? this.services.keySet() : Set.of());
		this.pending.values().removeIf((check) -> check.cancelIfOverdue(now));
		if (!this.services.isEmpty()) {
			this.gateway.placement().servers().forEach((server) -> checkIfNeeded(server, now));
		}
	}

	/**
	 * Checks a server if it may receive few further requests otherwise and is not being
	 * checked.
	 * @param server the server
	 * @param now the current time in nanoseconds
	 */
	void checkIfNeeded(ServerState server, long now) {
		ServicePlan service = this.services.get(server.entry().service());
		if (service != null && !this.pending.containsKey(server) && this.gateway.placement()
			.isNearColdBound(server, service.coldRequestsPerSecond(), this.gateway.gatewaysInRegion(), now)) {
			Check check = new Check(server, now);
			this.pending.put(server, check);
			check.start(service.healthCheckPath());
		}
	}

	private Map<String, ServicePlan> checkedServices() {
		return this.gateway.plan()
			.services()
			.values()
			.stream()
			.filter((service) -> service.coldRequestsPerSecond() > 0 && !service.healthCheckPath().isEmpty())
			.collect(Collectors.toMap(ServicePlan::name, Function.identity()));
	}

	/**
	 * One health check.
	 */
	private final class Check implements ResponseListener {

		private final ServerState server;

		private final long startedAt;

		private ClientCall call;

		private Check(ServerState server, long startedAt) {
			this.server = server;
			this.startedAt = startedAt;
		}

		private void start(String path) {
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
			request.headers().set(HttpHeaderNames.HOST, this.server.entry().address().getHostString());
			this.call = HealthChecks.this.gateway.connections()
				.call(this.server.entry().address(), request, Optional.empty(), 0, this);
		}

		private boolean cancelIfOverdue(long now) {
			boolean overdue = now - this.startedAt > TIMEOUT_NANOS;
			if (overdue) {
				HealthChecks.this.gateway.metrics().healthCheckFinished("failed");
				this.call.cancel();
			}
			return overdue;
		}

		@Override
		public Disposition responseReceived(FullHttpResponse response) {
			Dialect dialect = HealthChecks.this.gateway.dialect();
			Dialect.ServerResponse parsed = dialect.response(response);
			HealthChecks.this.pending.remove(this.server);
			Optional<Dialect.ServerHealth> health = dialect.health(response)
				.filter((each) -> each.serverId().equals(this.server.entry().id()));
			health.ifPresent((each) -> recordState(parsed, System.nanoTime()));
			OptionalLong coldMillis = health.map(Dialect.ServerHealth::coldMillis).orElseGet(OptionalLong::empty);
			coldMillis.ifPresent(this::recordCold);
			HealthChecks.this.gateway.metrics()
				.healthCheckFinished(coldMillis.isEmpty() ? "unclear" : (coldMillis.getAsLong() > 0) ? "cold" : "warm");
			return Disposition.COMPLETE;
		}

		private void recordState(Dialect.ServerResponse parsed, long now) {
			HealthChecks.this.gateway.announcements().record(this.server, parsed, "-", now);
			parsed.load().slowness().ifPresent((figure) -> this.server.machineSpeed().record(figure, now));
			HealthChecks.this.gateway.metrics().loadReported(this.server, parsed.load());
		}

		private void recordCold(long millis) {
			if (millis == 0) {
				this.server.recordWarm(this.startedAt);
				return;
			}
			long now = System.nanoTime();
			if (!this.server.isCold(now)) {
				HealthChecks.this.gateway.events()
					.record(Event.SERVER_FOUND_COLD, this.server.entry().id(), this.server.entry().service(), millis,
							HealthChecks.this.freshness.storeAgeMillis());
			}
			this.server.markCold(millis, now);
		}

		@Override
		public void callFailed(Failure failure, String detail) {
			HealthChecks.this.pending.remove(this.server);
			HealthChecks.this.gateway.metrics().healthCheckFinished("failed");
		}

	}

}
